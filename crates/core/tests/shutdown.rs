//! Which requests an instance takes while it shuts down.

use {
    mangowalk_core::shutdown::{RecentDurations, RequestTime, can_finish},
    proptest::prelude::*,
};

/// Guards against taking a request that runs at most once and may be cut off at the exit,
/// whatever the grace period and however short such requests were.
#[test]
fn a_request_that_runs_once_fits_with_all_its_time() {
    for grace_ms in (1_000..=30_000).step_by(500) {
        for left_ms in [1, 500, grace_ms - 1, grace_ms, grace_ms + 1, 60_000] {
            let request = RequestTime {
                left_ms,
                may_run_again: false,
                longest_recent_ms: Some(10),
            };
            assert_eq!(can_finish(&request, grace_ms), left_ms <= grace_ms);
        }
    }
}

/// Guards against turning away callers that would be served long before the exit, as their
/// deadlines lie behind it.
#[test]
fn a_request_that_may_run_again_fits_by_what_such_requests_took() {
    let request = |longest_recent_ms| RequestTime {
        left_ms: 15_000,
        may_run_again: true,
        longest_recent_ms,
    };
    assert!(can_finish(&request(Some(600)), 900));
    assert!(!can_finish(&request(Some(601)), 900));
    assert!(!can_finish(&request(None), 1_000));
}

/// Guards against one long request that is never forgotten.
#[test]
fn old_durations_are_forgotten() {
    let mut durations = RecentDurations::default();
    assert_eq!(durations.longest_ms(), None);
    durations.record(60_000);
    assert_eq!(durations.longest_ms(), Some(60_000));
    for _ in 0..32 {
        durations.record(50);
    }
    assert_eq!(durations.longest_ms(), Some(50));
}

proptest! {
    /// Guards against refusing a request whose deadline lies before the exit.
    #[test]
    fn a_request_with_an_earlier_deadline_fits(
        left_ms in 0_u64..60_000,
        spare_ms in 0_u64..60_000,
        may_run_again: bool,
        longest_recent_ms in proptest::option::of(0_u64..100_000),
    ) {
        let request = RequestTime { left_ms, may_run_again, longest_recent_ms };
        prop_assert!(can_finish(&request, left_ms + spare_ms));
    }
}
