//! Refusals by a team's rate, and the retry times that callers receive.

use mangowalk_core::{
    limits::{Ledger, RefusedRequest, RetrySchedule, ShortageTracker, team_slots},
    record::Rate,
};

const RATE: Rate = Rate {
    schema: 1,
    tokens_per_s: 1_000,
    burst_tokens: 2_000,
};

/// Twenty callers are refused at once, and each retries at its returned time.
/// Every one must find its tokens; with equal retry times, all but the first
/// would be refused again.
#[test]
fn refused_callers_find_tokens_when_they_retry() {
    let mut ledger = Ledger::default();
    for slot in team_slots("gallery") {
        ledger.hold(slot, u64::MAX, 0);
    }
    ledger.tokens("gallery", &RATE, 0);
    let mut retry_schedule = RetrySchedule::default();
    let request = RefusedRequest {
        tokens: 500,
        short_tokens: 500,
        instances: 1,
        jitter: 0,
    };
    let mut retry_at_ms: Vec<u64> = (0..20u8)
        .map(|jitter| {
            let request = RefusedRequest { jitter, ..request };
            retry_schedule.retry_ms("gallery", &RATE, &request, 0)
        })
        .collect();
    retry_at_ms.sort_unstable();
    for at_ms in retry_at_ms {
        let served = ledger.take("gallery", &RATE, 500, at_ms);
        assert!(served.is_some(), "refused again at {at_ms} ms");
    }
}

/// A team is far over its rate. A request that can't be served soon must be
/// refused without querying peers and without waiting. Once its tokens may be
/// available again, peers are queried.
#[test]
fn a_request_that_lacks_tokens_is_refused_without_asking_peers() {
    let mut shortage_tracker = ShortageTracker::default();
    assert_eq!(
        shortage_tracker.certain_shortage("gallery", &RATE, 800, 0),
        None
    );
    shortage_tracker.record_shortage("gallery", 100, 0);
    assert_eq!(
        shortage_tracker.certain_shortage("gallery", &RATE, 800, 50),
        Some(650)
    );
    assert_eq!(shortage_tracker.wait_ms("gallery", &RATE, 10, 50), None);
    assert_eq!(
        shortage_tracker.certain_shortage("gallery", &RATE, 90, 50),
        None
    );
    assert_eq!(
        shortage_tracker.certain_shortage("gallery", &RATE, 800, 200),
        None
    );
    assert_eq!(
        shortage_tracker.wait_ms("gallery", &RATE, 10, 1_000),
        Some(10)
    );
}

/// Requests wait for tokens that will be refilled soon. One behind too many of
/// them must be refused instead of waiting for tokens that the others will
/// take.
#[test]
fn a_request_behind_too_many_waiting_ones_is_refused() {
    let mut shortage_tracker = ShortageTracker::default();
    shortage_tracker.begin_wait("gallery", 250);
    assert_eq!(shortage_tracker.wait_ms("gallery", &RATE, 50, 0), Some(300));
    assert_eq!(shortage_tracker.wait_ms("gallery", &RATE, 51, 0), None);
    shortage_tracker.end_wait("gallery", 250);
    assert_eq!(shortage_tracker.wait_ms("gallery", &RATE, 51, 0), Some(51));
}
