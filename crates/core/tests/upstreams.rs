//! Load and failure control of one upstream that becomes slow, fails and
//! recovers.

use mangowalk_core::{
    attempt::{Attempt, AttemptEnd, EndedAttempt},
    edge::SendError,
    upstream::{
        Breaker, BreakerSettings, ConcurrencyLimit, Health, InstanceRetryBudget, LimitSettings,
        StallDetector,
    },
};

const USUAL_MS: u64 = 40;
const SLOW_MS: u64 = 800;

fn lost() -> EndedAttempt {
    Attempt::plan(1)
        .send(0)
        .end(AttemptEnd::Send(SendError::Lost))
}

/// Records `count` answers of a fully used upstream, and returns the time after
/// the last.
fn answers(limit: &mut ConcurrencyLimit, count: u32, took_ms: u64, mut now_ms: u64) -> u64 {
    for _ in 0..count {
        now_ms += took_ms;
        let in_flight = limit.attempts();
        limit.first_token(took_ms, in_flight, Some(USUAL_MS as f64), now_ms);
    }
    now_ms
}

/// One of several engines becomes twenty times slower. Its queue must not keep
/// growing: it loses nine tenths of its requests within ten answers, and after
/// recovery regains one attempt per round instead of all at once.
#[test]
fn a_slow_upstream_loses_work_quickly_and_regains_it_gradually() {
    let mut limit = ConcurrencyLimit::new(LimitSettings::default());
    let now_ms = answers(&mut limit, 50, USUAL_MS, 0);
    let before = limit.attempts();
    let now_ms = answers(&mut limit, 10, SLOW_MS, now_ms);
    let during = limit.attempts();
    let now_ms = answers(&mut limit, 30, USUAL_MS, now_ms);
    let after_30 = limit.attempts();
    answers(&mut limit, 2_000, USUAL_MS, now_ms);
    insta::assert_snapshot!(
        format!("before {before}, slow {during}, 30 answers on {after_30}, 2000 on {}", limit.attempts()),
        @"before 33, slow 1, 30 answers on 6, 2000 on 63"
    );
    assert!(during * 10 <= before && after_30 < before / 2 && limit.attempts() >= before);
}

/// An engine stays slow for a thousand answers. Its own baseline has then
/// adapted, but compared with its peers it must still count as slow.
#[test]
fn lasting_slowness_does_not_become_the_baseline() {
    let mut limit = ConcurrencyLimit::new(LimitSettings::default());
    answers(&mut limit, 1_000, SLOW_MS, 0);
    assert!(limit.attempts() <= 2, "{}", limit.attempts());
}

/// A mix of prefix cache hits (20 ms) and misses (200 ms) must not count as
/// slow.
#[test]
fn prefix_cache_misses_do_not_lower_the_limit() {
    let mut limit = ConcurrencyLimit::new(LimitSettings::default());
    let before = limit.attempts();
    for i in 0..400_u64 {
        let took_ms = if i % 4 == 0 { 200 } else { 20 };
        limit.first_token(took_ms, limit.attempts(), Some(65.0), i * 50);
    }
    assert!(limit.attempts() >= before, "{}", limit.attempts());
}

/// All attempts that were queued during one slow moment answer slowly. They
/// have the same cause and must lower the limit only once.
#[test]
fn one_slow_round_lowers_the_limit_once() {
    let mut limit = ConcurrencyLimit::new(LimitSettings::default());
    let now_ms = answers(&mut limit, 50, USUAL_MS, 0);
    let before = limit.attempts();
    for _ in 0..30 {
        limit.first_token(SLOW_MS, before, Some(USUAL_MS as f64), now_ms + SLOW_MS);
    }
    assert!(limit.attempts() >= before / 2 - 1, "{}", limit.attempts());
}

/// A dead engine fails three attempts, which opens the breaker. After each
/// pause one probe is let through, a failed probe doubles the pause, and one
/// success closes the breaker.
#[test]
fn an_open_breaker_lets_one_probe_through_per_pause() {
    let mut breaker = Breaker::new(BreakerSettings::default());
    for _ in 0..3 {
        assert!(breaker.try_enter(0));
        breaker.record_failure(0);
    }
    assert!(!breaker.try_enter(499));
    assert!(breaker.try_enter(500));
    assert!(!breaker.try_enter(501));
    breaker.record_failure(510);
    assert_eq!(breaker.wait_ms(510), 1_000);
    assert!(breaker.try_enter(1_510));
    breaker.record_success();
    assert!(breaker.try_enter(1_511) && breaker.try_enter(1_511));
}

/// Requests sent before the breaker opened fail one after another. They must
/// not extend the pause.
#[test]
fn late_failures_do_not_lengthen_the_pause() {
    let mut breaker = Breaker::new(BreakerSettings::default());
    for now_ms in 0..20 {
        breaker.record_failure(now_ms);
    }
    assert_eq!(breaker.wait_ms(20), 482);
}

/// All engines fail. Retries must stay at a tenth of the traffic, plus the
/// capacity of the budget.
#[test]
fn retries_stay_a_tenth_of_the_traffic() {
    let mut budget = InstanceRetryBudget::default();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_first_attempt();
        retries += u32::from(budget.try_retry()) + u32::from(budget.try_retry());
    }
    assert!((100..=120).contains(&retries), "{retries}");
}

/// Guards against an instance that starts again and again and gets all saved retries anew
/// each time.
#[test]
fn starts_do_not_renew_the_saved_retries() {
    let retries: usize = (0..10)
        .map(|_| {
            let mut budget = InstanceRetryBudget::default();
            let wanted = (0..20).map(|_| {
                budget.record_first_attempt();
                budget.try_retry()
            });
            wanted.filter(|granted| *granted).count()
        })
        .sum();
    // A tenth of 200 requests, and the capacity once.
    assert!(retries <= 40, "{retries}");
}

/// A long queue does not interrupt running streams, a stall does. One stream
/// that was read for a second without a token indicates a stall, until any
/// stream receives one.
#[test]
fn an_upstream_without_tokens_on_any_stream_is_stalled() {
    let mut detector = StallDetector::default();
    detector.record_token(1_000);
    assert!(!detector.is_stalled(5_000), "no stream was read");
    detector.record_silence(2_100);
    assert!(detector.is_stalled(2_100));
    detector.record_token(2_200);
    assert!(!detector.is_stalled(2_300));
    detector.record_silence(2_400);
    assert!(
        !detector.is_stalled(2_500),
        "another stream just received a token"
    );
    assert!(!detector.is_stalled(9_000), "the report has expired");
}

/// An engine runs as many streams as its limit of waiting attempts. It must
/// still get more attempts, since only those that wait for a first token count.
#[test]
fn only_attempts_waiting_for_a_first_token_count() {
    let mut health = Health::default();
    let limit = health.limit();
    for _ in 0..limit {
        assert!(health.usable(0) && health.start(0));
    }
    assert!(!health.usable(0) && health.allows(0));
    for _ in 0..limit {
        health.first_token(USUAL_MS, None, 40);
    }
    assert!(health.free() >= limit);
    let cut = Attempt::plan(1).send(0).first_token(40);
    health.end(&cut.end(AttemptEnd::CallerGone), 50);
    assert!(health.free() >= limit);
    health.start(60);
    health.end(&lost(), 70);
    assert_eq!(health.free(), health.limit());
}
