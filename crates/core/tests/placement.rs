//! What placement assumes about the caches of engines, and the engines that it
//! chooses.

use {
    mangowalk_core::{
        engine::{CacheChange, CacheEvents, EngineState, LoadReport},
        placement::{
            Choice, EngineSpec, Placement, PlacementRequest, PlacementSettings, block_chain,
        },
    },
    proptest::prelude::*,
    std::collections::HashSet,
};

const SLOTS: u32 = 8;

fn state(incarnation: u64, running: u32) -> EngineState {
    EngineState {
        incarnation,
        model: "drafting".to_owned(),
        version: "v1".to_owned(),
        load: LoadReport {
            running,
            waiting: 0,
            slots: SLOTS,
        },
        ..EngineState::default()
    }
}

fn placement(engines: usize, settings: PlacementSettings) -> Placement {
    let specs: Vec<EngineSpec> = (0..engines)
        .map(|i| EngineSpec {
            name: format!("engine-{i}"),
            model: "drafting".to_owned(),
            in_same_domain: true,
            departing: false,
        })
        .collect();
    let mut placement = Placement::new(settings, 7);
    placement.set_engines(&specs);
    for spec in &specs {
        placement.report(&spec.name, Some(&state(1, 0)));
    }
    placement
}

fn choose(placement: &mut Placement, chain: &[u64], now_ms: u64) -> Choice {
    let request = PlacementRequest {
        model: "drafting",
        version: "v1",
        chain,
        cache_store_blocks: 0,
        avoid: &HashSet::new(),
        is_usable: &|_| true,
        waited_ms: 0,
        queued: 0,
        force: false,
    };
    let choice = placement.choose(&request, now_ms);
    choice.expect("an engine has room")
}

fn chain(team: &str) -> Vec<u64> {
    block_chain(&format!("{team}/drafting/v1"), &"handbook ".repeat(3_000))
}

fn run(placement: &mut Placement, chain: &[u64], now_ms: u64) -> Choice {
    let mut choice = choose(placement, chain, now_ms);
    placement.sent(&mut choice, chain, now_ms);
    placement.first_token(&mut choice, now_ms + 10);
    placement.ended(&choice, Some(choice.held_blocks), now_ms + 20);
    choice
}

/// A prompt was computed on an engine and the same prompt arrives again: it
/// must be sent to that engine. The same text from another team must not count
/// on any cached block.
#[test]
fn a_cached_prefix_counts_only_for_its_own_team() {
    let mut placement = placement(12, PlacementSettings::default());
    let first = run(&mut placement, &chain("gallery"), 0);
    let again = choose(&mut placement, &chain("gallery"), 100);
    assert_eq!(again.engine, first.engine);
    assert!(again.held_blocks >= 96, "{again:?}");
    assert_eq!(choose(&mut placement, &chain("cooper"), 100).held_blocks, 0);
}

/// An engine that held a prefix restarts. Reports and cache events of its
/// former incarnation, in transit since before the crash, must not restore the
/// entry; otherwise a request is sent there and waits for a prefill that was
/// not expected.
#[test]
fn late_events_of_a_former_incarnation_are_ignored() {
    let mut placement = placement(12, PlacementSettings::default());
    let chain = chain("gallery");
    let first = run(&mut placement, &chain, 0);
    placement.report(&first.engine, Some(&state(2, 0)));
    placement.report(&first.engine, Some(&state(1, 0)));
    let late = CacheEvents {
        incarnation: 1,
        first_sequence: 0,
        changes: chain.iter().map(|d| CacheChange::Stored(*d)).collect(),
    };
    placement.cache_events(&first.engine, &late);
    let after = choose(&mut placement, &chain, 200);
    assert_eq!(after.held_blocks, 0);
}

/// Cache events show that an engine holds a prefix that another instance sent
/// there; then some events are lost. The lost ones may have been evictions, so
/// the entries of the engine must be cleared. Events after the gap apply again.
#[test]
fn a_gap_in_cache_events_clears_the_index_of_the_engine() {
    let mut placement = placement(12, PlacementSettings::default());
    let chain = chain("gallery");
    let stored = |first_sequence| CacheEvents {
        incarnation: 1,
        first_sequence,
        changes: chain.iter().map(|d| CacheChange::Stored(*d)).collect(),
    };
    placement.cache_events("engine-3", &stored(0));
    let known = choose(&mut placement, &chain, 0);
    assert_eq!((known.engine.as_str(), known.held_blocks), ("engine-3", 96));
    let behind_gap = CacheEvents {
        incarnation: 1,
        first_sequence: 5_000,
        changes: Vec::new(),
    };
    placement.cache_events("engine-3", &behind_gap);
    assert_eq!(choose(&mut placement, &chain, 0).held_blocks, 0);
    placement.cache_events("engine-3", &stored(5_000));
    assert_eq!(choose(&mut placement, &chain, 0).held_blocks, 96);
}

/// An engine evicts blocks within seconds. An answer shows that a prefix
/// assumed to be cached was not found; prefixes that were used even earlier
/// must no longer count as cached, without a miss of each.
#[test]
fn a_miss_shortens_the_retention_of_older_prefixes() {
    let mut placement = placement(1, PlacementSettings::default());
    let older = chain("cooper");
    let newer = chain("gallery");
    run(&mut placement, &older, 0);
    run(&mut placement, &newer, 1_000);
    let mut choice = choose(&mut placement, &newer, 6_000);
    placement.sent(&mut choice, &newer, 6_000);
    placement.ended(&choice, Some(0), 6_100);
    assert_eq!(choose(&mut placement, &older, 6_200).held_blocks, 0);
    assert!(choose(&mut placement, &newer, 6_200).held_blocks > 0);
}

/// A busy engine holds the prompt and an idle one does not. The holder must
/// lose the request only when its queue costs more than the prefill elsewhere.
#[test]
fn a_cache_hit_is_weighed_against_the_queue() {
    let settings = PlacementSettings {
        max_queued_in_engine: 64,
        ..PlacementSettings::default()
    };
    let mut placement = placement(2, settings);
    let chain = chain("gallery");
    let first = run(&mut placement, &chain, 0);
    placement.report(&first.engine, Some(&state(1, SLOTS - 1)));
    assert_eq!(choose(&mut placement, &chain, 100).engine, first.engine);
    placement.report(&first.engine, Some(&state(1, SLOTS + 6)));
    assert_ne!(choose(&mut placement, &chain, 100).engine, first.engine);
}

/// The engine that holds the prompt is full and another one is free. The
/// request must wait a little rather than be computed again, which would take
/// prefill time from others. Once it has waited for as long as the prefill
/// takes, it must be sent to the free engine.
#[test]
fn a_request_waits_for_a_full_holder_only_as_long_as_a_prefill_takes() {
    let settings = PlacementSettings {
        instances: 8,
        ..PlacementSettings::default()
    };
    let mut placement = placement(2, settings);
    let chain = chain("gallery");
    let held = choose(&mut placement, &chain, 0);
    for _ in 0..=PlacementSettings::default().max_queued_in_engine {
        let mut sent = held.clone();
        placement.sent(&mut sent, &chain, 0);
        placement.first_token(&mut sent, 10);
    }
    placement.report(&held.engine, Some(&state(1, SLOTS)));
    // The events of the other engine show that its cache is empty.
    let other = usize::from(held.engine == "engine-0");
    let nothing = CacheEvents {
        incarnation: 1,
        ..CacheEvents::default()
    };
    placement.cache_events(&format!("engine-{other}"), &nothing);
    let mut after = |waited_ms| {
        let request = PlacementRequest {
            model: "drafting",
            version: "v1",
            chain: &chain,
            cache_store_blocks: 0,
            avoid: &HashSet::new(),
            is_usable: &|_| true,
            waited_ms,
            queued: 0,
            force: false,
        };
        placement.choose(&request, 100 + waited_ms)
    };
    assert_eq!(after(0), None);
    let elsewhere = after(2_000).expect("the other engine is chosen");
    assert_ne!(elsewhere.engine, held.engine);
}

/// The KV cache store holds a prompt that no engine has cached. The blocks must
/// be imported, which costs less than computing them.
#[test]
fn blocks_in_the_kv_store_are_imported_rather_than_computed() {
    let settings = PlacementSettings {
        import_us: Some(400.0),
        ..PlacementSettings::default()
    };
    let mut placement = placement(2, settings);
    let chain = chain("gallery");
    let request = PlacementRequest {
        model: "drafting",
        version: "v1",
        chain: &chain,
        cache_store_blocks: 64,
        avoid: &HashSet::new(),
        is_usable: &|_| true,
        waited_ms: 0,
        queued: 0,
        force: false,
    };
    let choice = placement.choose(&request, 0).expect("an engine is chosen");
    assert_eq!(choice.import_blocks, 64);
}

/// A decision must compare at most 20 candidates, whatever the size of the
/// fleet.
#[test]
fn the_number_of_candidates_is_bounded_at_every_fleet_size() {
    for engines in [16, 160, 640] {
        let mut placement = placement(engines, PlacementSettings::default());
        let max_candidates = (0..200)
            .map(|i| run(&mut placement, &chain("gallery"), i * 10).candidate_count)
            .max();
        assert!(
            max_candidates <= Some(20),
            "{engines} engines: {max_candidates:?}"
        );
    }
}

/// Change of the state of an engine.
#[derive(Debug, Clone, Copy)]
enum Event {
    Restart,
    Load,
    OtherVersion,
    Silent,
    Report,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        Just(Event::Restart),
        Just(Event::Load),
        Just(Event::OtherVersion),
        Just(Event::Silent),
        Just(Event::Report),
    ]
}

proptest! {
    /// Engines restart, load weights, change version and stop answering in any
    /// order while requests arrive. No request may be sent to an engine that is
    /// excluded or that last reported that it cannot serve it, nor count on
    /// blocks computed before the last restart of the engine.
    #[test]
    fn requests_go_only_to_engines_that_can_run_them(
        steps in prop::collection::vec((0_usize..4, event(), any::<bool>()), 1..60),
    ) {
        let mut placement = placement(4, PlacementSettings::default());
        let chain = chain("gallery");
        let mut states: Vec<Option<EngineState>> = vec![Some(state(1, 0)); 4];
        let mut holds = [false; 4];
        let avoid = HashSet::from(["engine-3".to_owned()]);
        for (i, (engine, event, avoid_fourth)) in steps.into_iter().enumerate() {
            let before = states[engine].clone().unwrap_or_else(|| state(i as u64 + 100, 0));
            let after = match event {
                Event::Restart => Some(state(i as u64 + 100, 0)),
                Event::Load => Some(EngineState { loading: true, ..before }),
                Event::OtherVersion => Some(EngineState { version: "v2".to_owned(), ..before }),
                Event::Silent => None,
                Event::Report => Some(EngineState {
                    loading: false,
                    version: "v1".to_owned(),
                    ..before
                }),
            };
            let restarted = after.as_ref().map(|s| s.incarnation)
                != states[engine].as_ref().map(|s| s.incarnation);
            holds[engine] &= !restarted;
            placement.report(&format!("engine-{engine}"), after.as_ref());
            states[engine] = after;
            let none = HashSet::new();
            let request = PlacementRequest {
                model: "drafting",
                version: "v1",
                chain: &chain,
                cache_store_blocks: 0,
                avoid: if avoid_fourth { &avoid } else { &none },
                is_usable: &|_| true,
                waited_ms: 0,
                queued: 0,
                force: true,
            };
            let now_ms = i as u64 * 100;
            let Some(mut choice) = placement.choose(&request, now_ms) else { continue };
            let at: usize = choice.engine.trim_start_matches("engine-").parse().unwrap_or(9);
            let now = states[at].as_ref();
            prop_assert!(now.is_some_and(|s| !s.loading && s.version == "v1"), "{choice:?}");
            prop_assert!(!(avoid_fourth && at == 3));
            prop_assert!(choice.held_blocks == 0 || holds[at], "{choice:?}");
            holds[at] = true;
            placement.sent(&mut choice, &chain, now_ms);
            placement.ended(&choice, Some(choice.held_blocks), now_ms + 10);
        }
    }
}
