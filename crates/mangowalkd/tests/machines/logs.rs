//! Logs and metrics of an instance.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{Caller, Deployment, EngineFaults, RouteKind},
    nix::sys::signal::Signal,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Nothing reads the log pipe, so it fills up. Requests must still be served.
#[test]
fn an_unread_log_delays_no_request() {
    let mut deployment = Deployment::prepare(PROGRAM, 1, 1);
    deployment.machines[0].start_with_unread_log();
    deployment.wait_until_ready();
    let caller = deployment.caller(0);
    for _ in 0..700 {
        let reply = caller.plain(
            "GET",
            RouteKind::Idempotent.path(),
            &Caller::new_request_id(),
        );
        assert_eq!(reply.status, 200);
    }
}

#[test]
fn metrics_count_answers_and_refusals() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    let caller = deployment.caller(0);
    for _ in 0..3 {
        caller.stream(RouteKind::Stream.path(), &Caller::new_request_id());
    }
    let mut unknown_caller = caller.clone();
    unknown_caller.key = Some("nobody's".to_owned());
    unknown_caller.plain(
        "GET",
        RouteKind::Idempotent.path(),
        &Caller::new_request_id(),
    );
    let metrics = Caller::get(deployment.machines[0].metrics_address(), "/metrics").body;
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

/// An instance gets SIGTERM under so much load that ordinary log lines are dropped,
/// with a stream that runs longer than its shutdown may take. It must exit before
/// it would be killed, which a lock held by the open connection would prevent. For
/// on-call, the log must still show the start of the shutdown and its end.
#[test]
fn shutdown_is_logged_under_load() {
    let mut deployment = Deployment::start(PROGRAM, 1, 1);
    deployment.engines[0].set_faults(EngineFaults {
        event_interval_ms: 2_000,
        ..EngineFaults::default()
    });
    let caller = deployment.caller(0);
    let stream =
        thread::spawn(move || caller.stream(RouteKind::Stream.path(), &Caller::new_request_id()));
    thread::sleep(Duration::from_millis(200));
    let load_caller = deployment.caller(0);
    let load = thread::spawn(move || {
        let until = Instant::now() + Duration::from_millis(1_500);
        while Instant::now() < until {
            load_caller.plain(
                "GET",
                RouteKind::Idempotent.path(),
                &Caller::new_request_id(),
            );
            thread::sleep(Duration::from_millis(1));
        }
    });
    thread::sleep(Duration::from_millis(300));
    deployment.machines[0].signal(Signal::SIGTERM);
    let code = deployment.machines[0].wait_for_exit(Duration::from_millis(3_750));
    assert_eq!(code, Some(0), "it exits well before it would be killed");
    load.join().expect("the callers end");
    stream.join().expect("the caller ends");
    let log = deployment.machines[0].log();
    let dropped = log.contains("dropped_lines=");
    assert!(dropped, "the load was too low to drop log lines");
    for line in ["event=started", "event=stopping", "event=stopped"] {
        assert!(log.contains(line), "{line} is missing");
    }
}
