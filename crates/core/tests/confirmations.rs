//! Tests for when an instance is known to have had the store's current state.

use mangowalk_core::confirmation::{
    ConfirmationBound, ConfirmationReport, ConfirmationSettings, Confirmations, FollowedKind,
    KnownState, as_of_ms,
};

const CONFIGURATION: FollowedKind = FollowedKind::Configuration;
const ENGINES: FollowedKind = FollowedKind::Engines;
const WEIGHTS: FollowedKind = FollowedKind::Weights;

fn state(configuration_version: u64) -> KnownState {
    KnownState {
        configuration_version,
        departures_revision: 50,
        weights: vec![("m".to_owned(), 2)],
    }
}

fn report(sequence: u64, state: KnownState, age_ms: u32) -> ConfirmationReport {
    ConfirmationReport {
        author: "a".to_owned(),
        incarnation: 1,
        sequence,
        state,
        ages: FollowedKind::ALL.map(|kind| (kind, age_ms)).to_vec(),
    }
}

fn ages(confirmations: &Confirmations, now_ms: u64) -> [Option<u64>; 3] {
    FollowedKind::ALL.map(|kind| confirmations.age_ms(kind, now_ms))
}

/// A watch may return at the end of its wait, or at once. Guards against taking a state for
/// younger than what the store answered with.
#[test]
fn an_answer_holds_from_the_end_of_a_wait_without_changes() {
    assert_eq!(as_of_ms(1_000, 900, false, 1_904), 1_900);
    assert_eq!(as_of_ms(1_000, 900, true, 1_904), 1_000);
    assert_eq!(as_of_ms(1_000, 900, false, 1_500), 1_000);
}

/// One answer tells the revision that the store counts for all kinds. Guards against
/// confirming a kind of which a change may be missing.
#[test]
fn an_answer_confirms_the_kinds_known_up_to_its_revision() {
    let mut confirmations = Confirmations::default();
    confirmations.record_revision(CONFIGURATION, 70);
    confirmations.record_revision(ENGINES, 70);
    confirmations.record_revision(WEIGHTS, 69);
    confirmations.record_current(70, 1_000);
    assert_eq!(ages(&confirmations, 1_500), [Some(500), Some(500), None]);
}

/// Guards against an instance that confirms to itself what a peer knows and it doesn't.
#[test]
fn a_report_confirms_only_what_is_known() {
    let mut confirmations = Confirmations::default();
    let newer = KnownState {
        weights: vec![("m".to_owned(), 2), ("n".to_owned(), 1)],
        ..state(8)
    };
    confirmations.receive(&report(1, newer, 100), &state(7), 1_000);
    assert_eq!(ages(&confirmations, 1_000), [None, Some(100), None]);
    // The news arrives after the report.
    confirmations.apply_pending(&state(8));
    assert_eq!(ages(&confirmations, 1_000), [Some(100), Some(100), None]);
}

/// A relay that was suspended passes old reports on when it is resumed. Guards against taking
/// them for new ones.
#[test]
fn a_report_that_arrives_after_a_newer_one_is_ignored() {
    let mut confirmations = Confirmations::default();
    confirmations.receive(&report(2, state(7), 100), &state(7), 1_000);
    confirmations.receive(&report(1, state(7), 0), &state(7), 5_000);
    assert_eq!(confirmations.age_ms(CONFIGURATION, 5_000), Some(4_100));
}

/// Guards against one kind being confirmed because another one is, and against one that stays
/// unknown keeping the others from it.
#[test]
fn kinds_are_confirmed_apart() {
    let mut confirmations = Confirmations::default();
    for sequence in 1..=100 {
        confirmations.receive(&report(sequence, state(8), 0), &state(7), sequence * 100);
    }
    assert_eq!(confirmations.age_ms(CONFIGURATION, 10_000), None);
    assert_eq!(confirmations.age_ms(ENGINES, 10_000), Some(0));
}

/// A peer restarts after its clock was set back, so that its start has a lower number. Guards
/// against ignoring all that it confirms from then on.
#[test]
fn reports_of_another_start_count_from_their_own_beginning() {
    let mut confirmations = Confirmations::default();
    let restarted = ConfirmationReport {
        incarnation: 0,
        ..report(1, state(7), 0)
    };
    confirmations.receive(&report(9, state(7), 0), &state(7), 1_000);
    confirmations.receive(&restarted, &state(7), 2_000);
    assert_eq!(confirmations.age_ms(CONFIGURATION, 2_000), Some(0));
}

/// An instance that follows a part of the engine list doesn't see all engines leave. Guards
/// against confirming to peers that none has.
#[test]
fn engines_are_confirmed_to_peers_only_by_those_that_know_all() {
    let mut confirmations = Confirmations::default();
    for kind in FollowedKind::ALL {
        confirmations.record_revision(kind, 70);
    }
    confirmations.record_current(70, 1_000);
    let told = |confirmations: &Confirmations| confirmations.ages(1_200);
    assert_eq!(told(&confirmations), [(CONFIGURATION, 200), (WEIGHTS, 200)]);
    confirmations.set_knows_all_engines(true);
    assert_eq!(told(&confirmations).len(), 3);
}

/// All instances of a fleet start together, and a part of a large fleet's engine list isn't
/// confirmed by its first reading. Guards against all of them reading at the same moment.
#[test]
fn instances_that_have_just_settled_read_one_after_the_other() {
    let settings = ConfirmationSettings::default();
    let confirmations = Confirmations::default();
    let at_ms = |place| confirmations.unconfirmed_at_ms(ENGINES, &settings, 50_000, place);
    assert_eq!(
        [at_ms(0.0), at_ms(0.5), at_ms(1.0)],
        [50_000, 50_100, 50_200]
    );
}

/// Guards against a chain of waits that is longer than the time within which changes must
/// apply, on any deployment. A failed connection, the delay after it and an answer come last.
#[test]
fn unconfirmed_knowledge_is_replaced_in_time() {
    const FAILED_CONNECTION_MS: u64 = 400;
    const BACKOFF_MS: u64 = 150;
    const ANSWER_MS: u64 = 50;
    for apply_ms in [2_000, 3_000, 4_000, 5_000, 8_000, 10_000] {
        let bound = ConfirmationBound::within(apply_ms);
        let settings = ConfirmationSettings {
            configuration: bound,
            ..ConfirmationSettings::default()
        };
        let confirmations = Confirmations::default();
        let reads_at_ms = confirmations.unconfirmed_at_ms(CONFIGURATION, &settings, 0, 1.0);
        let applied_ms = reads_at_ms + FAILED_CONNECTION_MS + BACKOFF_MS + ANSWER_MS;
        assert!(applied_ms <= apply_ms, "{applied_ms} of {apply_ms}");
        assert!(settings.interval_ms() < bound.max_age_ms);
    }
}
