//! Who may order new weights, and in what pace engines get them.

use {
    mangowalk_core::weights::{
        Held, HolderReport, Lease, LeaseSettings, LoadConcurrency, ObservedRecord, OutdatedEngine,
        PlanSettings, PublishedAt, Step, Vacant, WeightsHistory, WeightsSettings, plan,
    },
    proptest::prelude::*,
};

const WEIGHTS: WeightsSettings = WeightsSettings {
    penalty_after_ms: 1_300,
    dispatch_until_ms: 6_800,
    start_until_ms: 7_700,
    unknown_age_grace_ms: 2_600,
};

const INSTANCES: usize = 3;

/// What happens to one instance, one after the other.
#[derive(Debug, Clone)]
enum Op {
    /// Time passes.
    Pass { ms: u64 },
    /// It reads the record and tries to take it over.
    Take { at: usize, answer_is_lost: bool },
    /// It renews what it believes to hold.
    Renew {
        at: usize,
        answer_is_lost: bool,
        way_ms: u64,
    },
    /// It gives an order if it believes that it may.
    Order { at: usize },
    /// All stand still, and go on with what they believed before.
    Freeze,
}

fn op() -> impl Strategy<Value = Op> {
    let at = 0..INSTANCES;
    prop_oneof![
        4 => (1..1_500_u64).prop_map(|ms| Op::Pass { ms }),
        2 => (at.clone(), any::<bool>()).prop_map(|(at, answer_is_lost)| Op::Take { at, answer_is_lost }),
        4 => (at.clone(), any::<bool>(), 0..600_u64)
            .prop_map(|(at, answer_is_lost, way_ms)| Op::Renew { at, answer_is_lost, way_ms }),
        6 => at.clone().prop_map(|at| Op::Order { at }),
        1 => Just(Op::Freeze),
    ]
}

enum Hold {
    Vacant(Lease<Vacant>),
    Held(Lease<Held>),
}

struct Instance {
    hold: Hold,
    seen: Option<ObservedRecord>,
}

/// The record, as the store holds it.
#[derive(Default)]
struct Record {
    holder: Option<usize>,
    fence: u64,
    revision: u64,
    is_settled: bool,
}

/// Instances take the record from each other, lose answers and stand still.
/// Whatever the order, two of them never give orders within the time in which
/// only one may, and the numbers of their leases never go down.
#[test]
fn two_holders_never_order_side_by_side() {
    let settings = LeaseSettings::default();
    proptest!(|(ops in prop::collection::vec(op(), 1..120))| {
        let mut now_ms = 10_000_u64;
        let mut record = Record::default();
        let mut instances: Vec<Instance> = (0..INSTANCES)
            .map(|_| Instance { hold: Hold::Vacant(Lease::new(settings)), seen: None })
            .collect();
        let mut orders: Vec<(usize, u64, u64)> = Vec::new();
        for op in ops {
            match op {
                Op::Pass { ms } => now_ms += ms,
                Op::Freeze => now_ms += 4_000,
                Op::Take { at, answer_is_lost } => {
                    let instance = &mut instances[at];
                    let Hold::Vacant(vacant) = &instance.hold else { continue };
                    let seen = instance.seen.filter(|seen| seen.revision == record.revision);
                    let seen = seen.unwrap_or(ObservedRecord { revision: record.revision, first_ms: now_ms });
                    instance.seen = Some(seen);
                    let is_own = record.holder == Some(at) && record.is_settled;
                    let is_other = record.holder.is_some() && !is_own;
                    let quiet_ms = is_other.then(|| seen.quiet_since_ms(&settings));
                    record = Record {
                        holder: Some(at),
                        fence: record.fence + 1,
                        revision: record.revision + 1,
                        is_settled: !is_other,
                    };
                    if !answer_is_lost {
                        let held = vacant.clone().take(record.fence, record.revision, quiet_ms, now_ms);
                        instance.hold = Hold::Held(held);
                    }
                }
                Op::Renew { at, answer_is_lost, way_ms } => {
                    let sent_ms = now_ms;
                    now_ms += way_ms;
                    let instance = &mut instances[at];
                    let Hold::Held(lease) = &mut instance.hold else { continue };
                    let is_own = record.holder == Some(at) && record.fence == lease.held().fence;
                    if !is_own {
                        instance.hold = Hold::Vacant(Lease::new(settings));
                    } else if lease.is_waiting(now_ms) {
                        // Renewed only when orders may leave.
                    } else if lease.held().revision != record.revision {
                        lease.adopt(record.revision);
                    } else {
                        record.revision += 1;
                        record.is_settled = true;
                        if !answer_is_lost {
                            lease.renewed(record.revision, sent_ms);
                        }
                    }
                }
                Op::Order { at } => {
                    if let Hold::Held(lease) = &instances[at].hold
                        && lease.may_order(now_ms)
                    {
                        orders.push((at, lease.held().fence, now_ms));
                    }
                }
            }
        }
        for pair in orders.windows(2) {
            let (before, after) = (pair[0], pair[1]);
            prop_assert!(before.0 == after.0 || after.2 - before.2 >= settings.exclusion_ms, "{pair:?}");
            prop_assert!(before.1 <= after.1, "{pair:?}");
        }
    });
}

#[test]
fn an_own_record_needs_no_wait() {
    let lease = Lease::new(LeaseSettings::default()).take(2, 7, None, 1_000);
    assert!(lease.may_order(1_001));
    assert!(!lease.may_order(1_900), "a renewal is due");
}

fn turn(engine: &str, version: u64, requests: u32) -> OutdatedEngine {
    OutdatedEngine {
        engine: engine.to_owned(),
        steered_since_ms: None,
        is_ordered: false,
        version,
        requests,
        must_finish: requests,
        answers: true,
    }
}

#[test]
fn engines_with_the_oldest_weights_and_the_least_work_go_first() {
    let turns = [
        turn("a", 2, 0),
        turn("b", 1, 5),
        turn("c", 1, 1),
        turn("d", 2, 9),
    ];
    let steps = plan(&turns, 4, 6, 2, 100, &PlanSettings::default(), 0);
    insta::assert_debug_snapshot!(steps, @r#"
    [
        Steer(
            "c",
        ),
        Steer(
            "b",
        ),
    ]
    "#);
}

/// An engine whose remaining runs can all go on elsewhere gets its order at
/// once, and they are cut off; one with others finishes them first, for a
/// limited time.
#[test]
fn an_order_cuts_off_only_what_can_go_on() {
    let settings = PlanSettings::default();
    let mut free = turn("free", 1, 3);
    free.must_finish = 0;
    free.steered_since_ms = Some(0);
    let mut bound = turn("bound", 1, 3);
    bound.steered_since_ms = Some(0);
    let turns = [free, bound];
    let early = plan(&turns, 4, 6, 2, 100, &settings, settings.steer_ms);
    let late = plan(&turns, 4, 6, 2, 100, &settings, settings.finish_ms);
    let none_left = plan(&turns, 4, 6, 2, 2, &settings, settings.steer_ms);
    insta::assert_debug_snapshot!((early, late, none_left));
}

#[test]
fn an_engine_that_does_not_answer_holds_up_nobody() {
    let mut dead = turn("dead", 1, 0);
    dead.answers = false;
    dead.is_ordered = true;
    let mut ready = turn("ready", 1, 0);
    ready.steered_since_ms = Some(0);
    let steps = plan(
        &[dead, ready],
        2,
        0,
        1,
        100,
        &PlanSettings::default(),
        1_000,
    );
    assert!(matches!(&steps[..], [Step::Order { engine, .. }] if engine == "ready"));
}

#[test]
fn busy_engines_are_left_in_more_places() {
    let turns: Vec<OutdatedEngine> = (0..12).map(|n| turn(&format!("e{n:02}"), 1, 1)).collect();
    let away = |requests| plan(&turns, 12, requests, 2, 100, &PlanSettings::default(), 0).len();
    insta::assert_debug_snapshot!((away(12), away(45), away(200)), @"
    (
        6,
        4,
        3,
    )
    ");
}

/// Where only two engines load at full speed, a third one is tried, seen to
/// be slow and given up; where more do, more are used.
#[test]
fn the_number_that_load_at_once_is_found_by_trying() {
    let mut narrow = LoadConcurrency::default();
    let mut wide = LoadConcurrency::default();
    for _ in 0..40 {
        let loading = narrow.at_once(0, 1);
        narrow.loaded(if loading > 2 { 900 } else { 500 }, loading);
        let loading = wide.at_once(0, 1);
        wide.loaded(if loading > 6 { 900 } else { 500 }, loading);
    }
    assert_eq!(narrow.at_once(0, 1), 2);
    assert_eq!(wide.at_once(0, 1), 6);
}

#[test]
fn old_weights_are_bounded_by_the_first_newer_ones() {
    let mut named = WeightsHistory::default();
    named.insert(1, PublishedAt::Ago(60_000), &WEIGHTS, 100_000);
    named.insert(2, PublishedAt::Ago(0), &WEIGHTS, 100_000);
    named.insert(3, PublishedAt::Ago(0), &WEIGHTS, 104_000);
    assert_eq!(named.version_bounds(&WEIGHTS, 104_000).newest, 3);
    assert_eq!(named.version_bounds(&WEIGHTS, 104_000).min_preferred, 2);
    assert_eq!(named.version_bounds(&WEIGHTS, 104_000).min_allowed, 1);
    assert_eq!(named.version_bounds(&WEIGHTS, 106_800).min_allowed, 2);
    assert_eq!(named.start_deadline_ms(1, &WEIGHTS), Some(107_700));
    assert_eq!(named.start_deadline_ms(2, &WEIGHTS), Some(111_700));
    assert_eq!(named.start_deadline_ms(3, &WEIGHTS), None);
}

/// All instances lose power right after new weights were named. None knows
/// when that was, so old ones are used only for a moment; a peer that saw it
/// knows better than the guess, and the guess teaches nobody.
#[test]
fn a_version_of_unknown_age_counts_as_old() {
    let mut named = WeightsHistory::default();
    named.insert(4, PublishedAt::Unknown, &WEIGHTS, 50_000);
    assert_eq!(named.start_deadline_ms(3, &WEIGHTS), Some(52_600));
    let publications: Vec<_> = named.publications(&WEIGHTS, 50_000).collect();
    assert_eq!(publications, [(4, PublishedAt::Unknown)]);
    named.insert(4, PublishedAt::Ago(200), &WEIGHTS, 50_100);
    assert_eq!(named.start_deadline_ms(3, &WEIGHTS), Some(57_600));
    named.insert(4, PublishedAt::Unknown, &WEIGHTS, 50_200);
    assert_eq!(named.start_deadline_ms(3, &WEIGHTS), Some(57_600));
}

#[test]
fn an_older_version_never_replaces_a_newer_one() {
    let mut named = WeightsHistory::default();
    assert!(named.insert(5, PublishedAt::Ago(0), &WEIGHTS, 1_000));
    assert!(!named.insert(4, PublishedAt::Ago(0), &WEIGHTS, 2_000));
    assert_eq!(named.newest(), 5);
}

/// An instance takes the lease; another last heard of it before that, and reads
/// its record. What it heard then must not pass for word that the lease was
/// left: it would take it at once, and the first would have waited in vain.
#[test]
fn word_from_before_a_record_was_seen_is_not_believed() {
    let settings = LeaseSettings::default();
    let seen = ObservedRecord {
        revision: 7,
        first_ms: 10_000,
    };
    let report = |heard_ms, is_restarted| {
        Some(HolderReport {
            quiet_since_ms: 9_000,
            heard_ms,
            is_restarted,
        })
    };
    let old = report(9_900, false);
    assert_eq!(seen.check_takeover(old, &settings, 10_700), None);
    assert_eq!(
        seen.check_takeover(report(10_200, false), &settings, 10_500),
        None
    );
    assert_eq!(
        seen.check_takeover(report(10_200, false), &settings, 10_700),
        Some(9_000)
    );
    assert_eq!(
        seen.check_takeover(report(9_900, true), &settings, 10_700),
        Some(9_000)
    );
    // Nothing is heard of the holder: it may wait, behind a cut, for the one
    // before it. The record is taken when it must have ordered or renewed.
    assert_eq!(seen.check_takeover(None, &settings, 13_800), None);
    assert_eq!(seen.check_takeover(None, &settings, 13_900), Some(10_900));
}

/// A caller of an instance that has just started gets an answer made on weights
/// that were replaced too long ago. Weights 2 and 3 were named while it was
/// down; a peer tells of both, the newer one first. Engines with weights 1 are
/// out of bounds when 2 is too old, not when 3 is.
#[test]
fn a_new_instance_learns_when_the_first_newer_weights_were_named() {
    let mut peer = WeightsHistory::default();
    peer.insert(1, PublishedAt::Ago(60_000), &WEIGHTS, 100_000);
    peer.insert(2, PublishedAt::Ago(0), &WEIGHTS, 100_000);
    peer.insert(3, PublishedAt::Ago(0), &WEIGHTS, 104_000);
    let mut new = WeightsHistory::default();
    new.insert(3, PublishedAt::Unknown, &WEIGHTS, 105_000);
    for (version, at) in peer.publications(&WEIGHTS, 105_000) {
        assert!(!new.insert(version, at, &WEIGHTS, 105_000));
    }
    assert_eq!(new.start_deadline_ms(1, &WEIGHTS), Some(107_700));
    assert_eq!(new.version_bounds(&WEIGHTS, 106_800).min_allowed, 2);
    assert_eq!(new.newest(), 3);
    // Once 2 is past its time itself, what came before it need not be told.
    let later: Vec<_> = peer.publications(&WEIGHTS, 108_000).collect();
    assert_eq!(
        later,
        [(2, PublishedAt::Ago(8_000)), (3, PublishedAt::Ago(4_000))]
    );
}

/// Callers of a large fleet get answers on replaced weights, or are refused for
/// want of engines with allowed ones, while the engines are changed too slowly.
/// Loads of 1.3 s on ninety engines, eighteen of which load at full speed, have
/// to be through within 7 s. One more at a time took 17 s.
#[test]
fn a_large_fleet_is_through_in_time() {
    let mut pace = LoadConcurrency::default();
    let (mut left, mut passed_ms) = (90_usize, 0);
    while left > 0 {
        let loading = pace.at_once(90, 7_000).min(left);
        let took_ms = if loading > 18 {
            1_300 * loading as u64 / 18
        } else {
            1_300
        };
        for _ in 0..loading {
            pace.loaded(took_ms, loading);
        }
        left -= loading;
        passed_ms += took_ms;
    }
    assert!(passed_ms <= 9_000, "{passed_ms} {pace:?}");
}

/// Many load together where only a few do at full speed. The orderer goes back
/// to about that many, not to the fewest.
#[test]
fn the_pace_goes_back_to_what_loads_at_full_speed() {
    let mut pace = LoadConcurrency::default();
    pace.loaded(1_000, 2);
    for _ in 0..20 {
        let loading = pace.at_once(60, 3_000);
        let took_ms = if loading > 8 {
            1_000 * loading as u64 / 8
        } else {
            1_000
        };
        pace.loaded(took_ms, loading);
    }
    let settled = pace.at_once(60, 3_000);
    assert!((8..=11).contains(&settled), "{pace:?}");
}

/// An instance stands still for four seconds, in which new weights are named,
/// and reads the store when it goes on. It must not take them for new: callers
/// would get answers on old weights past their time.
#[test]
fn weights_that_were_named_during_a_gap_are_not_new() {
    assert_eq!(PublishedAt::after_gap(Some(300)), PublishedAt::Ago(300));
    assert_eq!(PublishedAt::after_gap(Some(4_000)), PublishedAt::Unknown);
    assert_eq!(PublishedAt::after_gap(None), PublishedAt::Unknown);
}
