//! Ends of answers: what callers see when an engine breaks one off or falls silent.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{
        AfterEarlyEnd, Caller, Deployment, Engine, EngineFaults, PathState, Reply, RouteKind,
        wait_until,
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// An engine breaks off a stream after some events.
fn broken_off(events: usize) -> EngineFaults {
    EngineFaults {
        cut_after_events: Some(events),
        ..EngineFaults::default()
    }
}

/// Returns what a caller sees of each way to break off a stream of a route, one line
/// each. All engines of the deployment break it off.
fn outcomes(kind: RouteKind, http_version: &'static str) -> String {
    let unframed = EngineFaults {
        is_unframed: true,
        ..broken_off(4)
    };
    let faults = [
        (
            "chunks, cut inside an event",
            EngineFaults {
                sends_half_event: true,
                ..broken_off(4)
            },
        ),
        (
            "chunks, ended inside an event",
            EngineFaults {
                sends_half_event: true,
                ends_cleanly: true,
                ..broken_off(4)
            },
        ),
        (
            "unframed, closed inside an event",
            EngineFaults {
                sends_half_event: true,
                ends_cleanly: true,
                ..unframed.clone()
            },
        ),
        (
            "unframed, closed before any event",
            EngineFaults {
                ends_cleanly: true,
                cut_after_events: Some(0),
                ..unframed.clone()
            },
        ),
        (
            "unframed, reset",
            EngineFaults {
                resets_connection: true,
                ..unframed
            },
        ),
    ];
    let deployment = Deployment::start(PROGRAM, 1, 2);
    let mut caller = deployment.caller(0);
    caller.http_version = http_version;
    let lines = faults.map(|(name, faults)| {
        for engine in &deployment.engines {
            engine.set_faults(faults.clone());
        }
        let reply = caller.stream(kind.path(), &Caller::new_request_id());
        format!(
            "{name}: {}, {} events, looks complete: {}",
            reply.status,
            reply.event_ids().len(),
            reply.is_complete
        )
    });
    lines.join("\n")
}

/// Guards against a stream that its engine broke off reaching the caller as complete.
#[test]
fn a_broken_stream_never_looks_complete() {
    for kind in [RouteKind::Stream, RouteKind::Resumable] {
        let outcomes = outcomes(kind, "HTTP/1.1");
        assert!(
            !outcomes.contains("looks complete: true"),
            "{kind:?}:\n{outcomes}"
        );
    }
}

/// Guards against the end of the connection, which is the end of an answer to HTTP/1.0,
/// hiding that a stream was broken off.
#[test]
fn an_http_1_0_caller_is_told_of_a_broken_stream() {
    for kind in [RouteKind::Stream, RouteKind::Resumable] {
        let outcomes = outcomes(kind, "HTTP/1.0");
        assert!(
            !outcomes.contains("looks complete: true"),
            "{kind:?}:\n{outcomes}"
        );
    }
}

/// Guards against answers without a length being refused, or their connection being
/// used again.
#[test]
fn answers_that_end_with_their_connection_are_served() {
    let deployment = Deployment::start(PROGRAM, 1, 2);
    for engine in deployment.engines.iter().chain(&deployment.services) {
        engine.set_faults(EngineFaults {
            is_unframed: true,
            ..EngineFaults::default()
        });
    }
    let caller = deployment.caller(0);
    for _ in 0..6 {
        for kind in [RouteKind::Stream, RouteKind::Resumable] {
            let reply = caller.stream(kind.path(), &Caller::new_request_id());
            assert!(reply.is_complete_stream(), "{kind:?}: {reply:?}");
        }
        for (kind, method) in [(RouteKind::Idempotent, "GET"), (RouteKind::Once, "POST")] {
            let id = Caller::new_request_id();
            let reply = caller.plain(method, kind.path(), &id);
            assert_eq!((reply.status, reply.body), (200, format!("body of {id}")));
            assert_eq!(deployment.times_run(&id), 1);
        }
    }
    let engines = deployment.engines.iter().chain(&deployment.services);
    assert_eq!(engines.map(Engine::reports).sum::<usize>(), 24);
    let log = deployment.machines[0].log();
    assert!(!log.contains("event=engine_failed"), "{log}");
}

/// Guards against a stream that may be resumed ending early, or with half an event,
/// when an engine closes its connection inside an event or before the first one.
#[test]
fn an_unframed_stream_that_breaks_off_resumes_at_another_engine() {
    for (events, reason) in [(4, "half_event"), (0, "no_event")] {
        let log: String = [0, 1]
            .map(|engine| log_of_a_stream_beside_a_broken_engine(engine, events))
            .concat();
        assert!(log.contains(&format!("reason={reason}")), "{reason}: {log}");
    }
}

/// Asks for a stream where one of two engines breaks all off after some events, and
/// returns the log.
fn log_of_a_stream_beside_a_broken_engine(engine: usize, events: usize) -> String {
    let deployment = Deployment::start(PROGRAM, 1, 2);
    deployment.engines[engine].set_faults(EngineFaults {
        is_unframed: true,
        sends_half_event: events > 0,
        ends_cleanly: true,
        ..broken_off(events)
    });
    let caller = deployment.caller(0);
    let reply = caller.stream(RouteKind::Resumable.path(), &Caller::new_request_id());
    assert!(reply.is_complete_stream(), "{reply:?}");
    let machine = &deployment.machines[0];
    wait_until("the answer is logged", || {
        machine.log().contains("event=answered")
    });
    machine.log()
}

/// Guards against work being done twice, or being moved away, because an engine is silent
/// for a second and goes on.
#[test]
fn a_stream_stays_at_an_engine_that_is_silent_for_a_second() {
    for kind in [RouteKind::Resumable, RouteKind::Stream] {
        let (deployment, paths, _gates) = Deployment::start_with_paths(PROGRAM, 1, 2);
        for engine in &deployment.engines {
            engine.set_faults(EngineFaults {
                event_interval_ms: 100,
                ..EngineFaults::default()
            });
        }
        let id = Caller::new_request_id();
        let caller = deployment.caller(0);
        let reply = thread::scope(|scope| {
            let stream = scope.spawn(|| caller.stream(kind.path(), &id));
            thread::sleep(Duration::from_millis(400));
            let runs = |engine: &mangowalk_platform_standins::Engine| !engine.runs().is_empty();
            let engine = deployment.engines.iter().find(|engine| runs(engine));
            let address = engine.expect("the stream runs").address();
            paths[0].set_for(address, PathState::Paused);
            thread::sleep(Duration::from_millis(1_000));
            paths[0].set_for(address, PathState::Open);
            stream.join().expect("the caller doesn't panic")
        });
        assert!(reply.is_complete_stream(), "{reply:?}");
        assert_eq!(deployment.times_run(&id), 1, "{kind:?}");
    }
}

/// Answers without a length whose engine ends behind some events, or some bytes of a plain
/// answer, and closes its connections in order.
fn ends_between_events(after: AfterEarlyEnd, events: usize) -> EngineFaults {
    EngineFaults {
        is_unframed: true,
        ends_cleanly: true,
        cut_after_bytes: Some(events),
        after_early_end: after,
        ..broken_off(events)
    }
}

/// Sends requests until the first of two engines has run one, and returns its answer with
/// its ID. All answers before it have to be whole.
fn answer_of_the_first(
    deployment: &Deployment,
    engines: &[Engine],
    mut send: impl FnMut(&str) -> Reply,
) -> (String, Reply) {
    for _ in 0..200 {
        let id = Caller::new_request_id();
        let reply = send(&id);
        let runs = engines[0].runs();
        if runs.iter().any(|run| run.request_id == id) {
            return (id, reply);
        }
        assert!(reply.is_complete, "{reply:?}");
        assert_eq!(deployment.times_run(&id), 1);
    }
    panic!("the first engine runs no request");
}

/// What becomes of an engine whose process ends.
const PROCESS_ENDS: [AfterEarlyEnd; 3] = [
    AfterEarlyEnd::Stops,
    AfterEarlyEnd::Restarts,
    AfterEarlyEnd::IsReplaced,
];

/// Guards against a stream looking complete whose engine crashed between two events: the
/// operating system closes the connection in order, as at the end of an answer without a
/// length.
#[test]
fn a_stream_whose_engine_crashed_between_events_never_looks_complete() {
    for after in PROCESS_ENDS {
        let deployment = Deployment::start(PROGRAM, 1, 2);
        deployment.engines[0].set_faults(ends_between_events(after, 4));
        let caller = deployment.caller(0);
        let path = RouteKind::Stream.path();
        let send = |id: &str| caller.stream(path, id);
        let (id, reply) = answer_of_the_first(&deployment, &deployment.engines, send);
        assert!(!reply.is_complete, "{after:?}: {reply:?}");
        assert_eq!(reply.event_ids(), [0, 1, 2, 3], "{after:?}");
        assert_eq!(deployment.times_run(&id), 1, "{after:?}");
    }
}

/// Guards against a stream that may be resumed ending at a crash between two events, and
/// against a complete one being lost with its engine's process.
#[test]
fn a_stream_whose_engine_crashed_between_events_resumes() {
    for (after, events) in PROCESS_ENDS
        .map(|after| (after, 4))
        .into_iter()
        .chain([(AfterEarlyEnd::Stops, 12)])
    {
        let deployment = Deployment::start(PROGRAM, 1, 2);
        deployment.engines[0].set_faults(ends_between_events(after, events));
        let caller = deployment.caller(0);
        let path = RouteKind::Resumable.path();
        let send = |id: &str| caller.stream(path, id);
        let (id, reply) = answer_of_the_first(&deployment, &deployment.engines, send);
        assert!(reply.is_complete_stream(), "{after:?}, {events}: {reply:?}");
        assert_eq!(deployment.times_run(&id), 2, "{after:?}, {events}");
    }
}

/// Guards against answers being broken off because the engine's report takes a while, and
/// against callers waiting without a bound for one that doesn't come.
#[test]
fn an_end_waits_a_short_time_for_a_slow_report() {
    for (report_delay_ms, runs) in [(300, 1), (5_000, 2)] {
        let deployment = Deployment::start(PROGRAM, 1, 2);
        deployment.engines[0].set_faults(EngineFaults {
            is_unframed: true,
            report_delay_ms,
            ..EngineFaults::default()
        });
        let caller = deployment.caller(0);
        let began = Instant::now();
        let send = |id: &str| caller.stream(RouteKind::Resumable.path(), id);
        let (id, reply) = answer_of_the_first(&deployment, &deployment.engines, send);
        assert!(reply.is_complete_stream(), "{report_delay_ms}: {reply:?}");
        assert_eq!(deployment.times_run(&id), runs, "{report_delay_ms}");
        assert!(began.elapsed() < Duration::from_secs(2));
    }
}

/// Guards against a plain answer without a length looking whole though its engine crashed,
/// and against a request that may run only once being sent again, or refused as not run.
#[test]
fn a_plain_answer_whose_engine_crashed_never_looks_whole() {
    for after in PROCESS_ENDS {
        for (kind, status, runs) in [(RouteKind::Once, 502, 1), (RouteKind::Idempotent, 200, 2)] {
            let deployment = Deployment::start(PROGRAM, 1, 2);
            deployment.services[0].set_faults(ends_between_events(after, 4));
            let caller = deployment.caller(0);
            let send = |id: &str| caller.plain("POST", kind.path(), id);
            let (id, reply) = answer_of_the_first(&deployment, &deployment.services, send);
            assert_eq!(reply.status, status, "{after:?}, {kind:?}: {reply:?}");
            assert_ne!(reply.body, "body", "{after:?}, {kind:?}");
            assert_eq!(deployment.times_run(&id), runs, "{after:?}, {kind:?}");
        }
    }
}
