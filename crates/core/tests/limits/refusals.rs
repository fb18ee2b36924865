//! What callers are told that a team's rate refuses.

use mangowalk_core::{
    limits::{Ledger, RetryAsk, RetryTimes, Scarcity, homes_of},
    record::Rate,
};

const RATE: Rate = Rate {
    schema: 1,
    tokens_per_s: 1_000,
    burst_tokens: 2_000,
};

/// Twenty callers are refused at once, and each comes back when it was told.
/// Tokens are there for every one: told the same time, all but the first
/// would be refused a second time.
#[test]
fn refused_callers_find_tokens_when_they_come_back() {
    let mut ledger = Ledger::default();
    for home in homes_of("gallery") {
        ledger.hold(home, u64::MAX, 0);
    }
    ledger.tokens("gallery", &RATE, 0);
    let mut retry_times = RetryTimes::default();
    let ask = RetryAsk {
        tokens: 500,
        short_tokens: 500,
        instances: 1,
        jitter: 0,
    };
    let mut told_ms: Vec<u64> = (0..20u8)
        .map(|jitter| {
            let ask = RetryAsk { jitter, ..ask };
            retry_times.retry_ms("gallery", &RATE, &ask, 0)
        })
        .collect();
    told_ms.sort_unstable();
    for at_ms in told_ms {
        let served = ledger.take("gallery", &RATE, 500, at_ms);
        assert!(served.is_some(), "refused again at {at_ms} ms");
    }
}

/// A team is far over its rate. A request that can't be served soon is refused
/// with no peer asked and nothing waited for; once the tokens may be there
/// again, it is worth asking.
#[test]
fn a_hopeless_request_is_refused_at_once() {
    let mut scarcity = Scarcity::default();
    assert_eq!(scarcity.hopeless("gallery", &RATE, 800, 0), None);
    scarcity.note("gallery", 100, 0);
    assert_eq!(scarcity.hopeless("gallery", &RATE, 800, 50), Some(650));
    assert_eq!(scarcity.wait_ms("gallery", &RATE, 10, 50), None);
    assert_eq!(scarcity.hopeless("gallery", &RATE, 90, 50), None);
    assert_eq!(scarcity.hopeless("gallery", &RATE, 800, 200), None);
    assert_eq!(scarcity.wait_ms("gallery", &RATE, 10, 1_000), Some(10));
}

/// Requests wait for tokens that are about to be minted. One behind too many
/// of them is refused, instead of waiting for tokens that others will take.
#[test]
fn a_request_behind_many_that_wait_is_refused() {
    let mut scarcity = Scarcity::default();
    scarcity.begin_wait("gallery", 250);
    assert_eq!(scarcity.wait_ms("gallery", &RATE, 50, 0), Some(300));
    assert_eq!(scarcity.wait_ms("gallery", &RATE, 51, 0), None);
    scarcity.end_wait("gallery", 250);
    assert_eq!(scarcity.wait_ms("gallery", &RATE, 51, 0), Some(51));
}
