//! Logs and metrics of an instance.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{Caller, Deployment, RouteKind},
};

/// Nobody reads the log, and its pipe fills up. Callers must not notice.
#[test]
fn a_log_that_nobody_reads_delays_nobody() {
    let mut deployment = Deployment::prepare(PROGRAM, 1, 1);
    deployment.machines[0].start_unread();
    deployment.wait_until_ready();
    let caller = deployment.caller(0);
    for _ in 0..700 {
        let reply = caller.plain("GET", RouteKind::Idempotent.path(), &Caller::fresh_id());
        assert_eq!(reply.status, 200);
    }
}

#[test]
fn metrics_count_answers_and_refusals() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    let caller = deployment.caller(0);
    for _ in 0..3 {
        caller.stream(RouteKind::Stream.path(), &Caller::fresh_id());
    }
    let mut stranger = caller.clone();
    stranger.key = Some("nobody's".to_owned());
    stranger.plain("GET", RouteKind::Idempotent.path(), &Caller::fresh_id());
    let metrics = Caller::get(deployment.machines[0].metrics(), "/metrics").body;
    assert!(
        metrics.contains("mangowalk_answered_total{reason=\"engine\"} 3"),
        "{metrics}"
    );
    assert!(
        metrics.contains("mangowalk_refused_total{reason=\"bad_key\"} 1"),
        "{metrics}"
    );
    assert!(
        metrics.contains("mangowalk_first_event_ms_count 3"),
        "{metrics}"
    );
}
