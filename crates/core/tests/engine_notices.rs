//! What engines say of themselves, and how long it holds.

use {
    mangowalk_core::{
        engine_notice::{EngineNotices, LeavingReport, NoticeSettings, SendBarrier},
        pool::Incarnation,
    },
    proptest::prelude::*,
};

const SETTINGS: NoticeSettings = NoticeSettings {
    restart_lag_ms: 10_000,
    last_use_ms: 1_000,
    max_unlisted: 3,
};

fn engine(id: &str, born_ms: u64) -> Incarnation {
    Incarnation {
        id: id.to_owned(),
        born_ms,
    }
}

fn resting(left_ms: u64) -> Option<SendBarrier> {
    Some(SendBarrier::Resting { left_ms })
}

/// Guards against a rest that is shortened by another one, asked for by an answer that was on
/// its way, and against one that outlasts its time.
#[test]
fn a_rest_ends_at_its_latest_end() {
    let mut notices = EngineNotices::default();
    let e = engine("e", 1);
    assert!(notices.record_rest(&e, 3_000, &SETTINGS, 1_000));
    assert!(!notices.record_rest(&e, 500, &SETTINGS, 1_200));
    assert!(!notices.record_rest(&e, 0, &SETTINGS, 1_300));
    assert_eq!(notices.barrier(&e, 1_500, &SETTINGS, 1_500), resting(2_500));
    assert_eq!(notices.barrier(&e, 1_500, &SETTINGS, 3_999), resting(1));
    assert_eq!(notices.barrier(&e, 1_500, &SETTINGS, 4_000), None);
    assert!(notices.record_rest(&e, 3_000, &SETTINGS, 5_000));
}

/// Guards against a rest that ends early because its end overflows.
#[test]
fn an_endless_rest_ends_with_its_engine() {
    let mut notices = EngineNotices::default();
    notices.record_rest(&engine("e", 1), u64::MAX, &SETTINGS, 1_000);
    let barrier = notices.barrier(&engine("e", 1), 0, &SETTINGS, u64::MAX - 1);
    assert_eq!(barrier, resting(1));
    let started_again = engine("e", 2);
    assert_eq!(notices.barrier(&started_again, 0, &SETTINGS, 11_000), None);
}

/// Guards against a rest that is lost as the list tells late that the engine, which asked for
/// it, has started again before.
#[test]
fn a_rest_outlasts_a_start_that_the_list_tells_late() {
    let mut notices = EngineNotices::default();
    notices.record_rest(&engine("e", 1), 3_000, &SETTINGS, 1_000);
    let started_again = engine("e", 2);
    let barrier = notices.barrier(&started_again, 0, &SETTINGS, 2_000);
    assert_eq!(barrier, resting(2_000));
    notices.record_rest(&started_again, 1_000, &SETTINGS, 2_000);
    let barrier = notices.barrier(&started_again, 0, &SETTINGS, 2_000);
    assert_eq!(barrier, resting(2_000));
}

/// Guards against an engine that gets requests after it has said that it leaves, and against
/// another start of it that gets none.
#[test]
fn only_the_start_that_leaves_gets_no_late_requests() {
    let mut notices = EngineNotices::default();
    let e = engine("e", 1);
    assert!(notices.record_leaving(&e, &SETTINGS, 5_000));
    assert!(!notices.record_leaving(&e, &SETTINGS, 9_000));
    assert_eq!(notices.leaving_since_ms(&e), Some(5_000));
    assert_eq!(notices.barrier(&e, 6_000, &SETTINGS, 9_000), None);
    let leaving = Some(SendBarrier::Leaving { ago_ms: 1_000_000 });
    assert_eq!(notices.barrier(&e, 6_001, &SETTINGS, 1_005_000), leaving);
    assert_eq!(
        notices.barrier(&engine("e", 2), 6_001, &SETTINGS, 9_000),
        None
    );
}

/// Guards against a report that counts from its arrival, and not from the engine's answer.
#[test]
fn a_report_holds_since_the_engine_said_so() {
    let mut notices = EngineNotices::default();
    let report = LeavingReport {
        engine: "e".to_owned(),
        born_ms: 1,
        age_ms: 700,
    };
    assert!(notices.apply_report(&report, &SETTINGS, 5_000));
    assert_eq!(notices.leaving_since_ms(&engine("e", 1)), Some(4_300));
}

/// Guards against notices that fill the memory, and against those of listed engines, or
/// running rests, that are forgotten first.
#[test]
fn the_oldest_notices_of_unlisted_engines_are_forgotten() {
    let mut notices = EngineNotices::default();
    notices.record_leaving(&engine("listed", 1), &SETTINGS, 1);
    notices.record_rest(&engine("over", 1), 100, &SETTINGS, 5);
    for (number, id) in ["a", "b", "c", "d", "e"].into_iter().enumerate() {
        notices.record_leaving(&engine(id, 1), &SETTINGS, 10 + number as u64);
    }
    notices.prune(|id| id == "listed", &SETTINGS, 1_000);
    let leaving = |id| notices.leaving_since_ms(&engine(id, 1)).is_some();
    let kept = ["listed", "a", "b", "c", "d", "e"].map(leaving);
    assert_eq!(kept, [true, false, false, true, true, true]);
    assert_eq!(notices.len(), 4);
}

proptest! {
    /// Guards against an order of answers in which a request is allowed within a rest.
    #[test]
    fn no_request_is_allowed_within_any_rest(
        asked in proptest::collection::vec((0_u64..10_000, 0_u64..5_000), 1..20),
        now_ms in 0_u64..20_000,
    ) {
        let mut asked = asked;
        asked.sort_unstable();
        let mut notices = EngineNotices::default();
        let e = engine("e", 1);
        let heard = asked.iter().filter(|(at_ms, _)| *at_ms <= now_ms);
        for &(at_ms, rest_ms) in heard.clone() {
            notices.record_rest(&e, rest_ms, &SETTINGS, at_ms);
        }
        let end_ms = heard.map(|(at_ms, rest_ms)| at_ms + rest_ms).max().unwrap_or(0);
        let left_ms = end_ms.saturating_sub(now_ms);
        let barrier = notices.barrier(&e, 0, &SETTINGS, now_ms);
        prop_assert_eq!(barrier, (left_ms > 0).then_some(SendBarrier::Resting { left_ms }));
    }
}
