//! The known state of engines, and the choice among them.

use {
    mangowalk_core::{
        pool::{
            AdmitSettings, ChoiceSettings, EngineEntry, EngineRequirements, EngineTable, Health,
            HealthSettings, Incarnation, KnownEngine, Load, ModelVersion, PrefillRate, PromptPart,
            Turnover, choose, find_cache_source, is_worth_abandoning, retry_after_ms, short_hash,
        },
        weights::VersionBounds,
    },
    proptest::prelude::*,
    std::collections::BTreeMap,
};

fn entry(id: &str, domain: &str) -> EngineEntry {
    EngineEntry {
        incarnation: Incarnation {
            id: id.to_owned(),
            born_ms: 1,
        },
        revision: 1,
        service: "llm".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: domain.to_owned(),
        slots: 96,
        draining: false,
        models: vec![ModelVersion {
            model: "model".to_owned(),
            version: 1,
        }],
        cold_left_ms: 0,
        software: "v1".to_owned(),
    }
}

fn requirements(session: u64) -> EngineRequirements {
    let part = |id, tokens| PromptPart { id, tokens };
    EngineRequirements {
        service: "llm".to_owned(),
        model: Some("model".to_owned()),
        memory_tokens: 9_250,
        prompt_tokens: 9_200,
        parts: vec![
            part(1, 2_500),
            part(session, 3_800),
            part(session + 1_000, 2_900),
        ],
        isolation_salt: 0,
        domain: "a".to_owned(),
    }
}

fn choose_engine(
    engines: &[KnownEngine],
    requirements: &EngineRequirements,
    wanted: VersionBounds,
    draw: u64,
) -> Option<String> {
    let settings = ChoiceSettings::default();
    let chosen = choose(
        engines.iter(),
        requirements,
        wanted,
        82_259,
        &settings,
        draw,
        1_000,
    );
    chosen.map(|engine| engine.entry.incarnation.id.clone())
}

fn engines(count: usize) -> Vec<KnownEngine> {
    (0..count)
        .map(|n| KnownEngine::new(entry(&format!("e{n:02}"), "a")))
        .collect()
}

/// Instances that do not communicate must choose the same engine for the same
/// session, and the sessions must spread over all engines.
#[test]
fn all_instances_choose_the_same_home_for_a_session() {
    let engines = engines(12);
    let mut homes: BTreeMap<String, usize> = BTreeMap::new();
    for session in 0..240 {
        let requirements = requirements(session * 7_919);
        let chosen: Vec<_> = (0..5)
            .map(|draw| choose_engine(&engines, &requirements, VersionBounds::default(), draw))
            .collect();
        assert!(
            chosen.windows(2).all(|pair| pair[0] == pair[1]),
            "{chosen:?}"
        );
        *homes
            .entry(chosen[0].clone().expect("one is chosen"))
            .or_default() += 1;
    }
    assert_eq!(homes.len(), 12);
    assert!(
        homes.values().all(|count| (6..45).contains(count)),
        "{homes:?}"
    );
}

#[test]
fn a_busy_home_is_passed_over() {
    let mut engines = engines(4);
    let requirements = requirements(77);
    let home =
        choose_engine(&engines, &requirements, VersionBounds::default(), 1).expect("one is chosen");
    let busy = engines
        .iter_mut()
        .find(|engine| engine.entry.incarnation.id == home);
    busy.expect("it is listed").own = Load {
        requests: 8,
        memory_tokens: 40_000,
        prefill_tokens: 20_000,
        must_finish: 8,
    };
    assert_ne!(
        choose_engine(&engines, &requirements, VersionBounds::default(), 1),
        Some(home)
    );
}

#[test]
fn an_engine_with_the_prompt_cached_is_preferred_despite_a_short_queue() {
    let mut engines = engines(4);
    let requirements = requirements(77);
    let home =
        choose_engine(&engines, &requirements, VersionBounds::default(), 1).expect("one is chosen");
    let other = engines
        .iter_mut()
        .find(|engine| engine.entry.incarnation.id != home);
    let other = other.expect("there are four");
    other.record_part(77, 900);
    other.own.prefill_tokens = 800;
    let id = other.entry.incarnation.id.clone();
    assert_eq!(
        choose_engine(&engines, &requirements, VersionBounds::default(), 1),
        Some(id)
    );
}

/// Engines with weights older than permitted must never be chosen, whatever
/// their load; if all have such weights, none is chosen.
#[test]
fn weights_out_of_bounds_are_never_used() {
    proptest!(|(loads in prop::collection::vec(0_u32..60_000, 3), draw in any::<u64>())| {
        let mut engines = engines(3);
        for (engine, load) in engines.iter_mut().zip(&loads) {
            engine.own.prefill_tokens = *load;
        }
        engines[1].set_version("model", 2);
        let wanted = VersionBounds { newest: 2, min_preferred: 2, min_allowed: 2 };
        prop_assert_eq!(choose_engine(&engines, &requirements(5), wanted, draw), Some("e01".to_owned()));
        engines[1].set_version("model", 1);
        prop_assert_eq!(choose_engine(&engines, &requirements(5), wanted, draw), None);
    });
}

#[test]
fn paused_engines_are_used_only_if_all_are_paused() {
    let mut engines = engines(2);
    let requirements = requirements(5);
    let home =
        choose_engine(&engines, &requirements, VersionBounds::default(), 1).expect("one is chosen");
    let home_engine = engines
        .iter_mut()
        .find(|engine| engine.entry.incarnation.id == home);
    home_engine
        .expect("it is listed")
        .pause_after_refusal(500, 900);
    assert_ne!(
        choose_engine(&engines, &requirements, VersionBounds::default(), 1),
        Some(home.clone())
    );
    for engine in &mut engines {
        engine.pause_after_refusal(500, 900);
    }
    assert!(
        choose_engine(&engines, &requirements, VersionBounds::default(), 1).is_some(),
        "paused engines are better than none"
    );
}

/// An engine that fails part of its requests must get one probe request at a
/// time; the next may be sent once the probe is answered.
#[test]
fn a_failing_engine_gets_single_requests() {
    let settings = HealthSettings::default();
    let mut health = Health::default();
    health.record_failure(&settings, 0);
    assert!(!health.is_excluded(&settings, 1));
    health.record_failure(&settings, 10);
    assert!(health.is_suspect(&settings, 11));
    health.record_sent(&settings, 20);
    assert!(health.is_excluded(&settings, 21), "a probe is in flight");
    health.record_answer(&settings, 30);
    assert!(!health.is_excluded(&settings, 31));
}

#[test]
fn an_engine_that_accepts_no_connection_is_excluded_until_it_does() {
    let settings = HealthSettings::default();
    let mut health = Health::default();
    health.record_silence(&settings, 0);
    assert!(health.is_excluded(&settings, 60_000));
    health.record_connection();
    assert!(!health.is_excluded(&settings, 60_000));
}

/// A peer reports that an engine is silent. The report must expire, and must be
/// ignored for an engine that this instance has received something from just
/// now.
#[test]
fn a_peer_report_of_silence_expires_and_yields_to_recent_bytes() {
    let settings = HealthSettings::default();
    let mut engine = KnownEngine::new(entry("e", "a"));
    engine.report_silent(600, 5_000);
    assert!(engine.is_excluded(&settings, 5_100));
    assert!(!engine.is_excluded(&settings, 5_700));
    engine.record_received(6_000);
    engine.report_silent(600, 6_300);
    assert!(!engine.is_excluded(&settings, 6_400));
}

/// A quarter of the engines become unreachable during a change of weights. The
/// instance that orders the change has no work there and learns of it from a
/// peer. It must not wait for them, or the other engines keep old weights.
#[test]
fn an_engine_reported_silent_is_not_responsive() {
    let settings = HealthSettings::default();
    let mut engine = KnownEngine::new(entry("e", "a"));
    assert!(engine.is_responsive(&settings, 10_000));
    engine.report_silent(600, 10_000);
    assert!(!engine.is_responsive(&settings, 10_100));
    engine.record_received(10_200);
    assert!(engine.is_responsive(&settings, 10_200));
}

/// An engine restarts under the same name. Nothing known of the former
/// incarnation may apply to the new one.
#[test]
fn a_new_incarnation_starts_with_no_known_state() {
    let mut table = EngineTable::default();
    table.apply_entry(entry("e", "a"));
    let engine = table.get_mut("e").expect("it is listed");
    engine.record_part(5, 100);
    engine.set_version("model", 4);
    let mut restarted = entry("e", "a");
    restarted.incarnation.born_ms = 2;
    table.apply_entry(restarted);
    let engine = table.get("e").expect("it is listed");
    assert!(!engine.has_cached(5, 10_000, 101));
    assert_eq!(engine.version("model"), 1);
}

#[test]
fn a_late_entry_does_not_lower_the_weights_version() {
    let mut table = EngineTable::default();
    table.apply_entry(entry("e", "a"));
    table
        .get_mut("e")
        .expect("it is listed")
        .set_version("model", 3);
    table.apply_entry(entry("e", "a"));
    assert_eq!(table.get("e").expect("it is listed").version("model"), 3);
}

#[test]
fn new_weights_clear_the_cached_parts() {
    let mut engine = KnownEngine::new(entry("e", "a"));
    engine.record_part(5, 100);
    engine.set_version("model", 2);
    assert!(!engine.has_cached(5, 10_000, 101));
}

#[test]
fn peers_report_which_engine_has_read_a_part() {
    let mut table = EngineTable::default();
    table.apply_entry(entry("e1", "a"));
    table.apply_entry(entry("e2", "a"));
    table.record_peer_parts(&[(5, short_hash("e2"))], 100);
    assert!(
        table
            .get("e2")
            .expect("it is listed")
            .has_cached(5, 1_000, 200)
    );
    assert!(
        !table
            .get("e1")
            .expect("it is listed")
            .has_cached(5, 1_000, 200)
    );
}

#[test]
fn the_load_of_a_departed_peer_is_removed() {
    let mut table = EngineTable::default();
    table.apply_entry(entry("e", "a"));
    let load = Load {
        requests: 3,
        ..Load::default()
    };
    table.set_peer_load("peer", &[("e".to_owned(), load)]);
    assert_eq!(table.get("e").expect("it is listed").load().requests, 3);
    table.remove_peer("peer");
    assert_eq!(table.get("e").expect("it is listed").load().requests, 0);
}

/// A peer with a newer list reports departing engines whose entries are still
/// listed here. They must get no more work, but a new incarnation under the
/// same name must.
#[test]
fn departing_engines_are_reported_to_peers() {
    let mut sender = EngineTable::default();
    for id in ["draining", "removed", "stays"] {
        sender.apply_entry(entry(id, "a"));
    }
    let mut receiver = EngineTable::default();
    for id in ["draining", "removed", "stays"] {
        receiver.apply_entry(entry(id, "a"));
    }
    sender.apply_entry(EngineEntry {
        draining: true,
        revision: 2,
        ..entry("draining", "a")
    });
    assert!(sender.remove_entry("removed", 3, None, 1_000));
    let known = receiver.known_revision();
    receiver.merge_departures("peer", &sender.departures(known), 1_100);
    let accepting = |table: &EngineTable, now_ms| -> Vec<String> {
        let engines = table.accepting_engines("llm", now_ms);
        engines
            .map(|engine| engine.entry.incarnation.id.clone())
            .collect()
    };
    assert_eq!(accepting(&receiver, 1_200), ["stays"]);
    let mut restarted = entry("removed", "a");
    restarted.incarnation.born_ms = 2;
    receiver.apply_entry(restarted.clone());
    receiver.merge_departures("peer", &sender.departures(known), 1_300);
    assert_eq!(accepting(&receiver, 1_300), ["removed", "stays"]);
    sender.apply_entry(EngineEntry {
        revision: 4,
        ..entry("removed", "a")
    });
    let reported = sender.departures(known);
    let departing = reported
        .iter()
        .filter(|departure| !departure.is_over)
        .count();
    assert_eq!((departing, reported.len()), (1, 2), "one is listed again");
}

/// All entries expired while the store was unavailable. The engines must be
/// used for the grace period; those that are not written again by its end are
/// removed.
#[test]
fn expired_entries_are_used_during_the_grace_period() {
    let mut engines = EngineTable::default();
    for id in ["back", "gone"] {
        engines.apply_entry(entry(id, "a"));
        assert!(!engines.remove_entry(id, 2, Some(3_000), 1_000));
    }
    assert_eq!(engines.accepting_engines("llm", 2_900).count(), 2);
    assert!(engines.departures(0).is_empty());
    engines.apply_entry(entry("back", "a"));
    assert_eq!(engines.grace_expired(3_000), ["gone"]);
    assert!(
        engines.remove_entry("gone", 2, Some(3_000), 3_000),
        "the grace period is over"
    );
    assert_eq!(engines.departures(0).len(), 1);
}

/// An engine has just loaded new weights and its cache is empty. It must fetch
/// the longest prefix of the prompt that an engine with the same weights has
/// cached, preferably within its failure domain, instead of computing it again.
#[test]
fn the_longest_cached_prefix_is_fetched_from_another_engine() {
    let requirements = requirements(7);
    let mut engines: Vec<KnownEngine> = ["loaded", "near", "far", "old"]
        .iter()
        .enumerate()
        .map(|(n, id)| {
            let domain = if *id == "far" { "b" } else { "a" };
            let address = format!("127.0.0.1:{n}").parse().expect("an address");
            KnownEngine::new(EngineEntry {
                address,
                ..entry(id, domain)
            })
        })
        .collect();
    let found = |engines: &[KnownEngine]| {
        let source = find_cache_source(&engines[0], &requirements, engines.iter(), 3_500, 5, 1_000);
        source.map(|source| (source.address.port(), source.tokens))
    };
    assert_eq!(found(&engines), None);
    engines[3].record_part(7, 900);
    engines[3].set_version("model", 0);
    assert_eq!(found(&engines), None, "that engine has other weights");
    engines[1].record_part(1, 900);
    engines[2].record_part(1, 900);
    assert_eq!(
        found(&engines),
        Some((1, 2_500)),
        "the engine in the same domain"
    );
    engines[2].record_part(7, 900);
    assert_eq!(found(&engines), Some((2, 6_300)), "the longer prefix");
    engines[0].record_part(1, 900);
    assert_eq!(found(&engines), Some((2, 6_300)));
    engines[0].record_part(7, 900);
    assert_eq!(
        found(&engines),
        None,
        "the engine has all shared parts cached itself"
    );
}

/// Guards against an engine that reads KV cache which another software version wrote.
#[test]
fn parts_are_fetched_from_engines_with_the_same_software_only() {
    let requirements = requirements(7);
    let part = requirements.shared_part().expect("it has a shared part");
    let source_with = |software: &str| {
        let mut engines = engines(2);
        let entry = EngineEntry {
            software: software.to_owned(),
            ..engines[1].entry.clone()
        };
        engines[1] = KnownEngine::new(entry);
        engines[1].record_part(part, 1_000);
        find_cache_source(&engines[0], &requirements, engines.iter(), 3_500, 5, 1_000)
    };
    assert!(source_with("v1").is_some());
    assert_eq!(source_with("v2"), None);
    assert_eq!(source_with(""), None);
}

/// Under overload, a request that would wait longer than permitted must be
/// refused at once, with a time after which to retry. A request of the highest
/// priority, which engines let overtake the others, may wait longer.
#[test]
fn requests_that_would_wait_too_long_are_refused_at_once() {
    let settings = AdmitSettings::default();
    let mut engine = KnownEngine::new(entry("e", "a"));
    let rate = PrefillRate::default();
    engine.own.prefill_tokens = 20_000;
    assert_eq!(
        retry_after_ms(&engine, &rate, &settings, 0, 800, false, 1_000),
        None
    );
    engine.own.prefill_tokens = 60_000;
    let retry_ms =
        retry_after_ms(&engine, &rate, &settings, 0, 800, false, 1_000).expect("it is refused");
    assert!((settings.min_retry_ms..=settings.max_retry_ms).contains(&retry_ms));
    assert_eq!(
        retry_after_ms(&engine, &rate, &settings, 0, 800, true, 1_000),
        None
    );
}

#[test]
fn the_prefill_rate_is_learned() {
    let mut rate = PrefillRate::default();
    for _ in 0..60 {
        rate.record(8_000, 80);
        rate.record(100, 50);
    }
    assert!(
        (95.0..105.0).contains(&rate.tokens_per_ms()),
        "{}",
        rate.tokens_per_ms()
    );
}

/// With a wrong retention time, engines compute prompts again that they still
/// have cached, or get prompts that they have evicted. The time must follow
/// from memory size and traffic: four times more or less of either changes it
/// by the same factor, within bounds.
#[test]
fn cache_retention_follows_memory_size_and_load() {
    let retention_ms = |memory_tokens, per_s: u64, engines| {
        let mut turnover = Turnover::default();
        for now_ms in (0..10_000).step_by(100) {
            turnover.record_sent(per_s / 10, now_ms);
        }
        turnover.retention_ms(memory_tokens, engines, 6, 10_000)
    };
    let usual = retention_ms(150_000, 30_000, 9);
    let figures = [
        ("usual", usual),
        ("four times the memory", retention_ms(600_000, 30_000, 9)),
        ("a fourth of the memory", retention_ms(37_500, 30_000, 9)),
        ("four times as much sent", retention_ms(150_000, 120_000, 9)),
        ("a fourth as much sent", retention_ms(150_000, 7_500, 9)),
        ("four times the engines", retention_ms(150_000, 30_000, 36)),
        ("nothing sent", retention_ms(150_000, 0, 9)),
    ];
    let lines = figures.map(|(what, retention_ms)| format!("{what}: {retention_ms} ms"));
    insta::assert_snapshot!(lines.join("\n"), @"
    usual: 7742 ms
    four times the memory: 30000 ms
    a fourth of the memory: 1935 ms
    four times as much sent: 1935 ms
    a fourth as much sent: 30000 ms
    four times the engines: 30000 ms
    nothing sent: 30000 ms
    ");
}

/// An engine whose grace period is over must get no work, even before the next
/// sweep removes it.
#[test]
fn an_unlisted_engine_is_not_used_after_its_grace_period() {
    let mut engines = EngineTable::default();
    for id in ["gone", "stays"] {
        engines.apply_entry(entry(id, "a"));
    }
    assert!(!engines.remove_entry("gone", 2, Some(3_000), 1_000));
    let accepting = |now_ms| engines.accepting_engines("llm", now_ms).count();
    assert_eq!([accepting(2_999), accepting(3_000)], [2, 1]);
}

/// A request crashes its engine shortly after a probe was accepted. If the probe
/// after the loss were left out because of the earlier one, the crash would never
/// be noticed.
#[test]
fn a_probe_after_a_lost_request_is_postponed() {
    let interval_ms = 400;
    let mut engine = KnownEngine::new(entry("e0", "a"));
    assert_eq!(engine.schedule_probe(false, interval_ms, 1_000), Some(0));
    assert_eq!(engine.schedule_probe(false, interval_ms, 1_200), None);
    assert_eq!(engine.schedule_probe(true, interval_ms, 1_200), Some(200));
    assert_eq!(engine.schedule_probe(true, interval_ms, 1_300), None);
    assert_eq!(engine.schedule_probe(false, interval_ms, 1_799), None);
    assert_eq!(engine.schedule_probe(false, interval_ms, 1_800), Some(0));
}

/// Guards against requests that leave the queue of one busy engine for that of another, while
/// all are busy or no retry is left.
#[test]
fn a_request_leaves_a_queue_only_if_others_would_answer_in_time() {
    let decide = |busy: usize, remaining_retries: u32| {
        let mut engines = engines(4);
        for engine in &mut engines[..busy] {
            engine.own.prefill_tokens = 100_000;
        }
        let rate = PrefillRate::default();
        is_worth_abandoning(engines.iter(), &rate, 800, 250, remaining_retries)
    };
    let decisions: Vec<bool> = (0..=4).map(|busy| decide(busy, 1)).collect();
    assert_eq!(decisions, [true, true, true, false, false]);
    assert!(!decide(0, 0), "without a retry");
    let nobody = std::iter::empty();
    assert!(!is_worth_abandoning(
        nobody,
        &PrefillRate::default(),
        800,
        250,
        1
    ));
}

/// Guards against orders to a former start of an engine that are kept after it has started
/// again under its ID, or has left.
#[test]
fn only_the_latest_start_of_an_engine_is_known() {
    let mut table = EngineTable::default();
    let former = entry("e", "a");
    let mut present = former.clone();
    present.incarnation.born_ms += 1;
    assert!(!table.has_start(&former.incarnation));
    table.apply_entry(former.clone());
    assert!(table.has_start(&former.incarnation));
    table.apply_entry(present.clone());
    assert!(!table.has_start(&former.incarnation));
    assert!(table.has_start(&present.incarnation));
}
