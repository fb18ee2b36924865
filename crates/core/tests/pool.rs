//! Engines, what is believed of them, and the choice among them.

use {
    mangowalk_core::{
        pool::{
            AdmitSettings, Belief, ChoiceSettings, EngineEntry, EngineTable, Health,
            HealthSettings, Incarnation, KeptParts, Load, ModelVersion, Need, PromptPart, ReadRate,
            Turnover, choose, holder, kept_key, refuse, short_hash,
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
    }
}

fn need(session: u64) -> Need {
    let part = |id, tokens| PromptPart { id, tokens };
    Need {
        service: "llm".to_owned(),
        model: Some("model".to_owned()),
        memory_tokens: 9_250,
        prompt_tokens: 9_200,
        parts: vec![
            part(1, 2_500),
            part(session, 3_800),
            part(session + 1_000, 2_900),
        ],
        wall: 0,
        domain: "a".to_owned(),
    }
}

fn pick(engines: &[Belief], need: &Need, wanted: VersionBounds, draw: u64) -> Option<String> {
    let settings = ChoiceSettings::default();
    let chosen = choose(engines.iter(), need, wanted, 82_259, &settings, draw, 1_000);
    chosen.map(|belief| belief.entry.incarnation.id.clone())
}

fn engines(count: usize) -> Vec<Belief> {
    (0..count)
        .map(|n| Belief::new(entry(&format!("e{n:02}"), "a")))
        .collect()
}

/// Instances that never speak choose the same engine for the same session,
/// and the sessions spread over all engines.
#[test]
fn sessions_have_homes_that_all_instances_agree_on() {
    let engines = engines(12);
    let mut homes: BTreeMap<String, usize> = BTreeMap::new();
    for session in 0..240 {
        let need = need(session * 7_919);
        let chosen: Vec<_> = (0..5)
            .map(|draw| pick(&engines, &need, VersionBounds::default(), draw))
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
fn a_busy_home_is_left() {
    let mut engines = engines(4);
    let need = need(77);
    let home = pick(&engines, &need, VersionBounds::default(), 1).expect("one is chosen");
    let busy = engines
        .iter_mut()
        .find(|belief| belief.entry.incarnation.id == home);
    busy.expect("it is listed").own = Load {
        requests: 8,
        memory_tokens: 40_000,
        prefill_tokens: 20_000,
        must_finish: 8,
    };
    assert_ne!(
        pick(&engines, &need, VersionBounds::default(), 1),
        Some(home)
    );
}

#[test]
fn an_engine_that_keeps_the_prompt_is_worth_a_short_wait() {
    let mut engines = engines(4);
    let need = need(77);
    let home = pick(&engines, &need, VersionBounds::default(), 1).expect("one is chosen");
    let other = engines
        .iter_mut()
        .find(|belief| belief.entry.incarnation.id != home);
    let other = other.expect("there are four");
    other.record_part(77, 900);
    other.own.prefill_tokens = 800;
    let id = other.entry.incarnation.id.clone();
    assert_eq!(pick(&engines, &need, VersionBounds::default(), 1), Some(id));
}

/// Weights out of bounds are never used, whatever else speaks for an engine;
/// where all are, none is chosen.
#[test]
fn weights_out_of_bounds_are_never_used() {
    proptest!(|(loads in prop::collection::vec(0_u32..60_000, 3), draw in any::<u64>())| {
        let mut engines = engines(3);
        for (belief, load) in engines.iter_mut().zip(&loads) {
            belief.own.prefill_tokens = *load;
        }
        engines[1].set_version("model", 2);
        let wanted = VersionBounds { newest: 2, min_preferred: 2, min_allowed: 2 };
        prop_assert_eq!(pick(&engines, &need(5), wanted, draw), Some("e01".to_owned()));
        engines[1].set_version("model", 1);
        prop_assert_eq!(pick(&engines, &need(5), wanted, draw), None);
    });
}

#[test]
fn engines_that_change_their_weights_are_passed_over_while_others_serve() {
    let mut engines = engines(2);
    let need = need(5);
    let home = pick(&engines, &need, VersionBounds::default(), 1).expect("one is chosen");
    let steered = engines
        .iter_mut()
        .find(|belief| belief.entry.incarnation.id == home);
    steered.expect("it is listed").refused(500, 900);
    assert_ne!(
        pick(&engines, &need, VersionBounds::default(), 1),
        Some(home.clone())
    );
    for belief in &mut engines {
        belief.refused(500, 900);
    }
    assert!(
        pick(&engines, &need, VersionBounds::default(), 1).is_some(),
        "better late than never"
    );
}

/// An engine that fails half of what it gets is left for a while, and gets
/// single requests until it answers well.
#[test]
fn a_failing_engine_gets_single_requests() {
    let settings = HealthSettings::default();
    let mut health = Health::default();
    health.failed(&settings, 0);
    assert!(!health.is_barred(&settings, 1));
    health.failed(&settings, 10);
    assert!(health.is_doubtful(&settings, 11));
    health.sent(&settings, 20);
    assert!(health.is_barred(&settings, 21), "one is under way");
    health.answered(&settings, 30);
    assert!(!health.is_barred(&settings, 31));
}

#[test]
fn an_engine_that_takes_no_connection_is_barred_until_it_does() {
    let settings = HealthSettings::default();
    let mut health = Health::default();
    health.silent(&settings, 0);
    assert!(health.is_barred(&settings, 60_000));
    health.connected();
    assert!(!health.is_barred(&settings, 60_000));
}

/// A peer says that an engine is silent. That is believed for a moment, but
/// not of an engine that spoke here just now.
#[test]
fn a_peers_word_counts_less_than_what_was_heard() {
    let settings = HealthSettings::default();
    let mut belief = Belief::new(entry("e", "a"));
    belief.report_silent(600, 5_000);
    assert!(belief.is_barred(&settings, 5_100));
    assert!(!belief.is_barred(&settings, 5_700));
    belief.heard(6_000);
    belief.report_silent(600, 6_300);
    assert!(!belief.is_barred(&settings, 6_400));
}

/// An engine starts again under its name. Nothing that was believed of it
/// before may be believed of it now, but work under way is still counted.
/// A quarter of the engines falls silent while weights change. The instance that
/// orders has no work there and hears of it from a peer; it must not wait for
/// them, or the others keep old weights.
#[test]
fn an_engine_that_a_peer_calls_silent_does_not_answer() {
    let settings = HealthSettings::default();
    let mut belief = Belief::new(entry("e", "a"));
    assert!(belief.answers(&settings, 10_000));
    belief.report_silent(600, 10_000);
    assert!(!belief.answers(&settings, 10_100));
    belief.heard(10_200);
    assert!(belief.answers(&settings, 10_200));
}

#[test]
fn a_new_start_begins_with_nothing_believed() {
    let mut table = EngineTable::default();
    table.list(entry("e", "a"));
    let belief = table.get_mut("e").expect("it is listed");
    belief.record_part(5, 100);
    belief.set_version("model", 4);
    let mut again = entry("e", "a");
    again.incarnation.born_ms = 2;
    table.list(again);
    let belief = table.get("e").expect("it is listed");
    assert!(!belief.keeps(5, 10_000, 101));
    assert_eq!(belief.version("model"), 1);
}

#[test]
fn a_late_entry_does_not_bring_old_weights_back() {
    let mut table = EngineTable::default();
    table.list(entry("e", "a"));
    table
        .get_mut("e")
        .expect("it is listed")
        .set_version("model", 3);
    table.list(entry("e", "a"));
    assert_eq!(table.get("e").expect("it is listed").version("model"), 3);
}

#[test]
fn new_weights_empty_the_cache() {
    let mut belief = Belief::new(entry("e", "a"));
    belief.record_part(5, 100);
    belief.set_version("model", 2);
    assert!(!belief.keeps(5, 10_000, 101));
}

#[test]
fn peers_tell_which_engine_has_read_a_part() {
    let mut table = EngineTable::default();
    table.list(entry("e1", "a"));
    table.list(entry("e2", "a"));
    table.placed(&[(5, short_hash("e2"))], 100);
    assert!(table.get("e2").expect("it is listed").keeps(5, 1_000, 200));
    assert!(!table.get("e1").expect("it is listed").keeps(5, 1_000, 200));
}

#[test]
fn the_load_of_a_peer_that_is_gone_is_forgotten() {
    let mut table = EngineTable::default();
    table.list(entry("e", "a"));
    let load = Load {
        requests: 3,
        ..Load::default()
    };
    table.peer_load("peer", &[("e".to_owned(), load)]);
    assert_eq!(table.get("e").expect("it is listed").load().requests, 3);
    table.forget_peer("peer");
    assert_eq!(table.get("e").expect("it is listed").load().requests, 0);
}

/// A peer that reads the list currently says that engines leave. Their own entry
/// here may lag; each gets no work from now on, but not one that has started
/// again under the same name.
#[test]
fn engines_that_leave_are_told() {
    let mut teller = EngineTable::default();
    for id in ["draining", "removed", "stays"] {
        teller.list(entry(id, "a"));
    }
    let mut hearer = EngineTable::default();
    for id in ["draining", "removed", "stays"] {
        hearer.list(entry(id, "a"));
    }
    teller.list(EngineEntry {
        draining: true,
        revision: 2,
        ..entry("draining", "a")
    });
    assert!(teller.unlist("removed", 3, None, 1_000));
    let known = hearer.known_revision();
    hearer.merge_departures("peer", &teller.departures(known), 1_100);
    let takers = |table: &EngineTable, now_ms| -> Vec<String> {
        let takers = table.takers("llm", now_ms);
        takers
            .map(|belief| belief.entry.incarnation.id.clone())
            .collect()
    };
    assert_eq!(takers(&hearer, 1_200), ["stays"]);
    let mut again = entry("removed", "a");
    again.incarnation.born_ms = 2;
    hearer.list(again.clone());
    hearer.merge_departures("peer", &teller.departures(known), 1_300);
    assert_eq!(takers(&hearer, 1_300), ["removed", "stays"]);
    teller.list(EngineEntry {
        revision: 4,
        ..entry("removed", "a")
    });
    let told = teller.departures(known);
    let leave = told.iter().filter(|departure| !departure.is_over).count();
    assert_eq!((leave, told.len()), (1, 2), "one is back on the list");
}

/// All entries lapsed while the store was away. The engines are used for the
/// grace; those that are not written again by then are gone.
#[test]
fn entries_that_lapsed_are_kept_for_the_grace() {
    let mut engines = EngineTable::default();
    for id in ["back", "gone"] {
        engines.list(entry(id, "a"));
        assert!(!engines.unlist(id, 2, Some(3_000), 1_000));
    }
    assert_eq!(engines.takers("llm", 2_900).count(), 2);
    assert!(engines.departures(0).is_empty());
    engines.list(entry("back", "a"));
    assert_eq!(engines.missing(3_000), ["gone"]);
    assert!(
        engines.unlist("gone", 2, Some(3_000), 3_000),
        "the grace is over"
    );
    assert_eq!(engines.departures(0).len(), 1);
}

/// An engine has just loaded new weights and keeps nothing. The first parts of a
/// prompt lie on engines with the same weights; it fetches the longest that any
/// keeps, near by, instead of reading it again.
#[test]
fn the_longest_head_that_another_engine_keeps_is_fetched() {
    let need = need(7);
    let mut engines: Vec<Belief> = ["loaded", "near", "far", "old"]
        .iter()
        .enumerate()
        .map(|(n, id)| {
            let domain = if *id == "far" { "b" } else { "a" };
            let address = format!("127.0.0.1:{n}").parse().expect("an address");
            Belief::new(EngineEntry {
                address,
                ..entry(id, domain)
            })
        })
        .collect();
    let found = |engines: &[Belief]| {
        let holder = holder(&engines[0], &need, engines.iter(), 3_500, 5, 1_000);
        holder.map(|holder| (holder.address.port(), holder.tokens))
    };
    assert_eq!(found(&engines), None);
    engines[3].record_part(7, 900);
    engines[3].set_version("model", 0);
    assert_eq!(found(&engines), None, "it has other weights");
    engines[1].record_part(1, 900);
    engines[2].record_part(1, 900);
    assert_eq!(found(&engines), Some((1, 2_500)), "the near one");
    engines[2].record_part(7, 900);
    assert_eq!(found(&engines), Some((2, 6_300)), "the longer head");
    engines[0].record_part(1, 900);
    assert_eq!(found(&engines), Some((2, 6_300)));
    engines[0].record_part(7, 900);
    assert_eq!(found(&engines), None, "it keeps all that is shared itself");
}

/// A store of kept parts restarts. It is empty, so nothing is believed to be
/// there; while it doesn't answer, nothing is asked of it.
#[test]
fn a_store_of_kept_parts_that_restarts_is_empty() {
    let mut kept = KeptParts::default();
    let key = kept_key("w1", 5);
    kept.answered(10, false);
    kept.change(key, true);
    assert!(kept.holds(key) && !kept.holds(kept_key("w2", 5)));
    kept.down();
    assert!(!kept.holds(key));
    kept.answered(11, false);
    assert!(!kept.holds(key));
}

/// Many requests read the same part at once. One engine is asked to send it to
/// the store; if it didn't arrive, another is asked once the first must have
/// given up.
#[test]
fn a_part_is_asked_for_once_at_a_time() {
    let mut kept = KeptParts::default();
    assert!(kept.ask(5, 1_000));
    assert!(!kept.ask(5, 1_001) && !kept.ask(5, 3_499));
    assert!(kept.ask(6, 1_001));
    assert!(kept.ask(5, 3_500));
}

/// More comes than the engines can read. A request that would wait longer
/// than its time is refused at once, with a time to come back; one of the
/// first rank, which engines let pass the others, waits longer.
#[test]
fn what_would_wait_too_long_is_refused_at_once() {
    let settings = AdmitSettings::default();
    let mut belief = Belief::new(entry("e", "a"));
    let rate = ReadRate::default();
    belief.own.prefill_tokens = 20_000;
    assert_eq!(refuse(&belief, &rate, &settings, 0, 800, false), None);
    belief.own.prefill_tokens = 60_000;
    let return_ms = refuse(&belief, &rate, &settings, 0, 800, false).expect("it is refused");
    assert!((settings.return_least_ms..=settings.return_most_ms).contains(&return_ms));
    assert_eq!(refuse(&belief, &rate, &settings, 0, 800, true), None);
}

#[test]
fn the_rate_of_reading_is_learned() {
    let mut rate = ReadRate::default();
    for _ in 0..60 {
        rate.sample(8_000, 80);
        rate.sample(100, 50);
    }
    assert!((95.0..105.0).contains(&rate.per_ms()), "{}", rate.per_ms());
}

/// Callers wait while engines read again what they still have, or are sent to
/// engines that have lost it. How long a part stays follows from the size of the
/// memory and from what is sent; four times more or less of either moves it by
/// as much, within bounds.
#[test]
fn the_time_that_parts_are_kept_follows_from_memory_and_load() {
    let kept_ms = |memory_tokens, per_s: u64, engines| {
        let mut turnover = Turnover::default();
        for now_ms in (0..10_000).step_by(100) {
            turnover.sent(per_s / 10, now_ms);
        }
        turnover.kept_ms(memory_tokens, engines, 6, 10_000)
    };
    let usual = kept_ms(150_000, 30_000, 9);
    let figures = [
        ("usual", usual),
        ("four times the memory", kept_ms(600_000, 30_000, 9)),
        ("a fourth of the memory", kept_ms(37_500, 30_000, 9)),
        ("four times as much sent", kept_ms(150_000, 120_000, 9)),
        ("a fourth as much sent", kept_ms(150_000, 7_500, 9)),
        ("four times the engines", kept_ms(150_000, 30_000, 36)),
        ("nothing sent", kept_ms(150_000, 0, 9)),
    ];
    let lines = figures.map(|(what, kept_ms)| format!("{what}: {kept_ms} ms"));
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

/// Guards against using an engine whose entry is gone until the next sweep.
#[test]
fn an_engine_that_the_list_lacks_is_not_used_beyond_its_grace() {
    let mut engines = EngineTable::default();
    for id in ["gone", "stays"] {
        engines.list(entry(id, "a"));
    }
    assert!(!engines.unlist("gone", 2, Some(3_000), 1_000));
    let takers = |now_ms| engines.takers("llm", now_ms).count();
    assert_eq!([takers(2_999), takers(3_000)], [2, 1]);
}
