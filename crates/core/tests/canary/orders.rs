//! Orders and messages that arrive late, twice, in any order or not at all.

use {
    mangowalk_core::canary::{
        CanaryDirective, CanaryOrder, CanarySettings, ExposureLimits, Lane, OrderId, Outcome,
        SoftwareRole, SoftwareTable,
    },
    proptest::prelude::*,
};

const SERVICE: &str = "desk";

fn id(to: &str, created: u64) -> OrderId {
    OrderId {
        service: SERVICE.to_owned(),
        to: to.to_owned(),
        created,
    }
}

fn order(to: &str, revision: u64) -> CanaryOrder {
    CanaryOrder {
        id: id(to, revision),
        name: SERVICE.to_owned(),
        revision,
        duration_ms: Some(12_000),
        is_started: false,
        outcome: None,
    }
}

fn finished(order: &CanaryOrder, outcome: Outcome) -> CanaryOrder {
    CanaryOrder {
        revision: order.revision + 1,
        outcome: Some(outcome),
        ..order.clone()
    }
}

fn directive(order: &CanaryOrder, share_permille: u16) -> CanaryDirective {
    CanaryDirective {
        decider: "i0".to_owned(),
        order: order.id.clone(),
        revision: order.revision,
        age_ms: 0,
        duration_ms: 12_000,
        share_permille,
        only_repeatable: false,
        outcome: None,
        is_stored: false,
    }
}

/// Returns a table of an instance that knows version `v1` and no order, up to revision
/// 50 of the store.
fn table() -> SoftwareTable {
    let limits = Some(ExposureLimits::default());
    let mut table = SoftwareTable::new(limits, CanarySettings::default());
    table.replace_orders(&[], 50, |_| 0, 0.5, 0);
    assert_eq!(table.role(SERVICE, "v1", 10, 0), SoftwareRole::InUse);
    table
}

/// Sends a number of requests and returns how many were tried at the new version.
fn tried(table: &mut SoftwareTable, requests: u32, now_ms: u64) -> u32 {
    let mut tried = 0;
    for _ in 0..requests {
        let lane = table.lane(SERVICE, true, true, now_ms);
        tried += u32::from(lane != Lane::InUse);
        table.record_sent(SERVICE, lane, true, now_ms);
    }
    tried
}

/// The list of engines may be read before the order that started them. If they counted
/// as usual ones meanwhile, half of the requests would go to a version that may be bad.
#[test]
fn engines_listed_before_their_order_get_nothing() {
    let mut table = table();
    assert_eq!(table.role(SERVICE, "v2", 101, 0), SoftwareRole::Held);
    assert!(!table.needs_view(800, 799));
    assert!(table.needs_view(800, 800));
    let order = order("v2", 100);
    table.replace_orders(&[order], 110, |_| 0, 0.5, 800);
    assert_eq!(table.role(SERVICE, "v2", 101, 800), SoftwareRole::Candidate);
}

/// Engines whose version changes without an order, such as when operators replace them
/// one by one, must serve once it is known that there is none.
#[test]
fn a_version_without_an_order_is_used_once_that_is_known() {
    let mut table = table();
    assert_eq!(table.role(SERVICE, "v2", 101, 0), SoftwareRole::Held);
    table.confirm_view(100);
    assert_eq!(table.role(SERVICE, "v2", 101, 10), SoftwareRole::Held);
    table.confirm_view(101);
    // A later change of the entry doesn't hold it back again.
    assert_eq!(table.role(SERVICE, "v2", 130, 20), SoftwareRole::InUse);
}

/// An instance that starts reads the orders and then a list in which most entries have
/// just changed, such as after new weights. If the first of them counted, all engines
/// would be held back, and its callers be refused.
#[test]
fn the_oldest_entry_shows_that_a_version_was_there_before_the_orders_were_read() {
    let limits = Some(ExposureLimits::default());
    let mut table = SoftwareTable::new(limits, CanarySettings::default());
    table.replace_orders(&[], 200, |_| 0, 0.5, 0);
    assert_eq!(table.role(SERVICE, "v1", 230, 0), SoftwareRole::Held);
    assert!(table.needs_view(800, 0));
    assert_eq!(table.role(SERVICE, "v1", 180, 0), SoftwareRole::InUse);
    assert_eq!(table.role(SERVICE, "v1", 230, 0), SoftwareRole::InUse);
}

/// Where the platform has no such orders, versions don't matter.
#[test]
fn without_limits_all_versions_are_used() {
    let mut table = SoftwareTable::default();
    assert_eq!(table.role(SERVICE, "v2", 101, 0), SoftwareRole::InUse);
    let directive = directive(&order("v2", 100), 1_000);
    assert!(!table.apply_directive(&directive, 0.5, 0));
    assert_eq!(table.lane(SERVICE, true, true, 0), Lane::InUse);
}

/// An instance that no longer hears a decider can't know that the version has turned
/// out to be bad.
#[test]
fn without_a_directive_nothing_is_tried() {
    let mut table = table();
    let order = order("v2", 100);
    table.replace_orders(std::slice::from_ref(&order), 110, |_| 0, 0.5, 0);
    assert_eq!(tried(&mut table, 1_000, 0), 0);
    table.apply_directive(&directive(&order, 100), 0.5, 0);
    assert_eq!(tried(&mut table, 1_000, 1_000), 100);
    assert_eq!(tried(&mut table, 1_000, 1_501), 0);
}

/// Deciders that are cut off from each other may differ. The lower share is in force:
/// one of them may have seen bad answers that the other hasn't.
#[test]
fn the_least_share_of_the_deciders_applies() {
    let mut table = table();
    let order = order("v2", 100);
    table.apply_directive(&directive(&order, 1_000), 0.5, 0);
    assert_eq!(table.lane(SERVICE, true, true, 0), Lane::Shifted);
    let other = CanaryDirective {
        decider: "i1".to_owned(),
        ..directive(&order, 50)
    };
    table.apply_directive(&other, 0.5, 0);
    assert_eq!(tried(&mut table, 100, 0), 5);
}

/// A retry of a request that was tried would be another request to the new version, and
/// those that must run at most once are not the first to be tried.
#[test]
fn retries_and_requests_that_run_once_are_not_tried_first() {
    let mut table = table();
    let order = order("v2", 100);
    let cautious = CanaryDirective {
        only_repeatable: true,
        ..directive(&order, 900)
    };
    table.apply_directive(&cautious, 0.99, 0);
    for _ in 0..5 {
        table.record_sent(SERVICE, Lane::InUse, true, 0);
    }
    assert_eq!(table.lane(SERVICE, true, false, 0), Lane::InUse);
    assert_eq!(table.lane(SERVICE, false, true, 0), Lane::InUse);
    assert_eq!(
        table.lane(SERVICE, true, true, 0),
        Lane::Trial { ratio: 0.9 }
    );
}

/// A result in the store is final; what a decider said before it was stored gives way.
#[test]
fn a_stored_result_never_changes() {
    let mut table = table();
    let order = order("v2", 100);
    table.replace_orders(std::slice::from_ref(&order), 110, |_| 0, 0.5, 0);
    table.finish(&order, Outcome::RolledBack, false, 10);
    assert_eq!(table.role(SERVICE, "v2", 101, 10), SoftwareRole::Withdrawn);
    let stored = finished(&order, Outcome::Completed);
    table.update_order(&stored, 0, 0.5, 20);
    assert_eq!(table.role(SERVICE, "v2", 101, 20), SoftwareRole::InUse);
    assert_eq!(table.role(SERVICE, "v1", 10, 20), SoftwareRole::Outgoing);
    table.finish(&order, Outcome::RolledBack, false, 30);
    table.finish(&stored, Outcome::RolledBack, true, 30);
    assert_eq!(table.role(SERVICE, "v2", 101, 30), SoftwareRole::InUse);
}

/// The first decider may hear the result from the second one, and has to write it. It
/// couldn't without the name of the entry, and the result came after the deadline.
#[test]
fn a_result_from_a_peer_can_be_written() {
    let mut table = table();
    let order = order("v2", 100);
    table.update_order(&order, 0, 0.5, 0);
    let result = CanaryDirective {
        outcome: Some(Outcome::Completed),
        ..directive(&order, 1_000)
    };
    table.apply_directive(&result, 0.5, 10);
    let finished = table.finished_orders(1_000, 10);
    assert_eq!(finished[0].0.name, order.name);
}

/// Guards against a result that is never written, because its order is read again or heard
/// of from a peer that knows an older revision, and each write is refused.
#[test]
fn a_result_is_written_under_the_newest_known_revision() {
    let begun = CanaryOrder {
        revision: 103,
        is_started: true,
        ..order("v2", 100)
    };
    let result = CanaryDirective {
        outcome: Some(Outcome::RolledBack),
        ..directive(&order("v2", 100), 0)
    };
    let mut heard_later = table();
    heard_later.update_order(&begun, 0, 0.5, 0);
    heard_later.apply_directive(&result, 0.5, 10);
    let mut read_later = table();
    read_later.update_order(&order("v2", 100), 0, 0.5, 0);
    read_later.apply_directive(&result, 0.5, 10);
    read_later.update_order(&begun, 0, 0.5, 20);
    for table in [heard_later, read_later] {
        let finished = table.finished_orders(1_000, 30);
        let revisions: Vec<u64> = finished.iter().map(|(order, _)| order.revision).collect();
        assert_eq!(revisions, [103]);
    }
}

/// An instance that starts after the result must use the new version and leave alone
/// the one that was withdrawn.
#[test]
fn a_starting_instance_takes_results_from_the_store() {
    for (outcome, old, new) in [
        (
            Outcome::Completed,
            SoftwareRole::Outgoing,
            SoftwareRole::InUse,
        ),
        (
            Outcome::RolledBack,
            SoftwareRole::InUse,
            SoftwareRole::Withdrawn,
        ),
    ] {
        let limits = Some(ExposureLimits::default());
        let mut table = SoftwareTable::new(limits, CanarySettings::default());
        assert_eq!(table.role(SERVICE, "v1", 10, 0), SoftwareRole::Held);
        let order = finished(&order("v2", 100), outcome);
        table.replace_orders(&[order], 200, |_| 0, 0.5, 0);
        assert_eq!(table.role(SERVICE, "v1", 10, 0), old);
        assert_eq!(table.role(SERVICE, "v2", 101, 0), new);
    }
}

/// A second order while one is under way: the version of the first gets nothing more,
/// and a late directive doesn't bring it back.
#[test]
fn a_new_order_replaces_the_one_under_way() {
    let mut table = table();
    let (first, second) = (order("v2", 100), order("v3", 120));
    table.apply_directive(&directive(&first, 100), 0.5, 0);
    table.replace_orders(std::slice::from_ref(&second), 130, |_| 0, 0.5, 10);
    table.apply_directive(&directive(&first, 1_000), 0.5, 20);
    assert_eq!(table.role(SERVICE, "v2", 101, 20), SoftwareRole::Withdrawn);
    assert_eq!(table.role(SERVICE, "v3", 121, 20), SoftwareRole::Candidate);
    assert_eq!(table.lane(SERVICE, true, true, 20), Lane::InUse);
}

/// A version that was withdrawn may be ordered again by a new entry.
#[test]
fn a_withdrawn_version_may_be_ordered_again() {
    let mut table = table();
    let first = order("v2", 100);
    let stored = finished(&first, Outcome::RolledBack);
    table.update_order(&stored, 0, 0.5, 0);
    table.update_order(&order("v2", 140), 0, 0.5, 10);
    assert_eq!(table.role(SERVICE, "v2", 141, 10), SoftwareRole::Candidate);
}

/// An order that the operator removes leaves its engines without requests.
#[test]
fn a_removed_order_withdraws_its_version() {
    let mut table = table();
    let order = order("v2", 100);
    table.update_order(&order, 0, 0.5, 0);
    table.withdraw(&order.name, 150);
    assert_eq!(table.role(SERVICE, "v2", 101, 10), SoftwareRole::Withdrawn);
    assert_eq!(table.role(SERVICE, "v1", 10, 10), SoftwareRole::InUse);
}

/// An order to the only version in use has nothing to move. If its engines counted as
/// new ones, the service would have none left.
#[test]
fn an_order_to_the_version_in_use_changes_nothing() {
    let mut table = table();
    table.update_order(&order("v1", 100), 0, 0.5, 0);
    assert_eq!(table.role(SERVICE, "v1", 10, 0), SoftwareRole::InUse);
    assert!(table.open_orders(0).is_empty());
}

/// What may happen to the table of an instance.
#[derive(Debug, Clone)]
enum Step {
    Requests(u32),
    Directive { share_permille: u16, decider: u8 },
    Read,
    Restart,
    Result { is_completed: bool, is_stored: bool },
    Pause(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1..40_u32).prop_map(Step::Requests),
        (0..=250_u16, 0..2_u8).prop_map(|(share_permille, decider)| Step::Directive {
            share_permille,
            decider
        }),
        Just(Step::Read),
        Just(Step::Restart),
        (any::<bool>(), any::<bool>()).prop_map(|(is_completed, is_stored)| Step::Result {
            is_completed,
            is_stored
        }),
        (1..2_000_u64).prop_map(Step::Pause),
    ]
}

proptest! {
    /// Whatever is lost, late or repeated, an instance that isn't told to move
    /// everything tries at most a quarter of its requests and one for each start; a
    /// result in the store stays; and what is withdrawn for good gets nothing.
    #[test]
    fn random_interleavings_keep_to_the_share(
        steps in prop::collection::vec(step(), 1..80),
        draws in prop::collection::vec(0.0..1.0_f64, 80),
    ) {
        let given = order("v2", 100);
        let mut in_store = given.clone();
        let mut table = table();
        let (mut now_ms, mut sent, mut exposed, mut starts) = (0, 0, 0, 1);
        for (step, draw) in steps.into_iter().zip(draws) {
            match step {
                Step::Requests(count) => {
                    let is_open = table.has_open_order(SERVICE);
                    let new = tried(&mut table, count, now_ms);
                    prop_assert!(is_open || new == 0);
                    sent += count;
                    exposed += new;
                }
                Step::Directive { share_permille, decider } => {
                    let directive = CanaryDirective {
                        decider: format!("i{decider}"),
                        ..directive(&given, share_permille)
                    };
                    table.apply_directive(&directive, draw, now_ms);
                }
                Step::Read => {
                    let orders = std::slice::from_ref(&in_store);
                    table.replace_orders(orders, 300, |_| now_ms, draw, now_ms);
                }
                Step::Restart => {
                    let limits = Some(ExposureLimits::default());
                    table = SoftwareTable::new(limits, CanarySettings::default());
                    starts += 1;
                }
                Step::Result { is_completed, is_stored } => {
                    let outcome = match is_completed {
                        true => Outcome::Completed,
                        false => Outcome::RolledBack,
                    };
                    if is_stored && in_store.outcome.is_none() {
                        in_store = finished(&given, outcome);
                    }
                    let is_told = in_store.outcome.is_none() || in_store.outcome == Some(outcome);
                    if is_told {
                        let directive = CanaryDirective {
                            outcome: Some(outcome),
                            is_stored: in_store.outcome == Some(outcome),
                            ..directive(&given, 0)
                        };
                        table.apply_directive(&directive, draw, now_ms);
                    }
                }
                Step::Pause(pause_ms) => now_ms += pause_ms,
            }
            let allowed = f64::from(sent) * 0.25 + f64::from(2 * starts);
            prop_assert!(f64::from(exposed) <= allowed, "{exposed} of {sent}, {starts} starts");
        }
        table.replace_orders(std::slice::from_ref(&in_store), 400, |_| now_ms, 0.5, now_ms);
        let role = table.role(SERVICE, "v2", 101, now_ms);
        match in_store.outcome {
            Some(Outcome::Completed) => prop_assert_eq!(role, SoftwareRole::InUse),
            Some(Outcome::RolledBack) => prop_assert_eq!(role, SoftwareRole::Withdrawn),
            None => prop_assert_ne!(role, SoftwareRole::Held),
        }
    }
}
