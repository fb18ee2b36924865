//! Responses to callers, and the runs at engines behind them.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{Caller, Deployment, EngineFaults, RouteKind, wait_until},
    std::{
        io::{Read, Write},
        net::{TcpListener, TcpStream},
        thread,
        time::{Duration, Instant},
    },
};

#[test]
fn every_kind_of_request_gets_a_complete_response() {
    let deployment = Deployment::start(PROGRAM, 2, 3);
    for machine in 0..2 {
        let caller = deployment.caller(machine);
        for kind in [RouteKind::Resumable, RouteKind::Stream] {
            let reply = caller.stream(kind.path(), &Caller::new_request_id());
            assert!(reply.is_complete_stream(), "{kind:?}: {reply:?}");
            assert!(reply.has_response_stamp());
        }
        for (kind, method) in [(RouteKind::Idempotent, "GET"), (RouteKind::Once, "POST")] {
            let id = Caller::new_request_id();
            let reply = caller.plain(method, kind.path(), &id);
            assert_eq!((reply.status, reply.body), (200, format!("body of {id}")));
            assert_eq!(deployment.times_run(&id), 1);
        }
    }
}

/// The caller sends headers with another team and cache salt. The engine must
/// receive the team that the key belongs to, and neither the key nor the caller's
/// salt.
#[test]
fn an_engine_sees_the_team_and_not_the_key() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    let mut caller = deployment.caller(0);
    caller.set_forged_team("walled", "theirs");
    let id = Caller::new_request_id();
    assert!(
        caller
            .stream(RouteKind::Resumable.path(), &id)
            .is_complete_stream()
    );
    let runs = deployment.engines[0].runs();
    let run = runs
        .iter()
        .find(|run| run.request_id == id)
        .expect("it ran");
    assert_eq!(run.tenant.as_deref(), Some("shop"));
    assert!(!run.received_key);
    assert_ne!(run.salt.as_deref(), Some("theirs"));
    assert!(
        run.remaining_ms <= 5_000 && run.remaining_ms > 4_000,
        "{run:?}"
    );
}

/// Two teams send the same prompt, and one of them is isolated. Their parts must
/// be cached under different salts, or one team would use parts that were cached
/// for the other.
#[test]
fn an_isolated_team_shares_no_cached_part() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    let shared = deployment.caller(0);
    let isolated = Caller::new(shared.address, "key-of-walled");
    for caller in [&shared, &isolated] {
        let reply = caller.stream(RouteKind::Stream.path(), &Caller::new_request_id());
        assert!(reply.is_complete_stream());
    }
    let salts: Vec<_> = deployment.engines[0]
        .runs()
        .into_iter()
        .map(|run| run.salt)
        .collect();
    assert_ne!(salts[0], salts[1]);
}

#[test]
fn unknown_keys_get_401_and_unknown_routes_404() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    let mut caller = deployment.caller(0);
    assert_eq!(
        caller
            .plain("GET", "/nowhere/1", &Caller::new_request_id())
            .status,
        404
    );
    caller.key = Some("nobody's".to_owned());
    let path = RouteKind::Idempotent.path();
    assert_eq!(
        caller.plain("GET", path, &Caller::new_request_id()).status,
        401
    );
    caller.key = None;
    assert_eq!(
        caller.plain("GET", path, &Caller::new_request_id()).status,
        401
    );
}

/// The engine runs a request that isn't idempotent, such as a charge, and its
/// response is lost. The request must not run again. The caller must get 502 and never
/// 503, which would state that the request has not run.
#[test]
fn a_lost_response_is_reported_as_502_and_not_retried() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    for service in &deployment.services {
        service.set_faults(EngineFaults {
            drops_responses: true,
            ..EngineFaults::default()
        });
    }
    for _ in 0..4 {
        let id = Caller::new_request_id();
        let reply = deployment
            .caller(0)
            .plain("POST", RouteKind::Once.path(), &id);
        assert_eq!(reply.status, 502, "{reply:?}");
        assert_eq!(deployment.times_run(&id), 1);
    }
}

/// One engine answers with 500 after running a request. An idempotent request must
/// be retried at the other engine; one that isn't gets the engine's own response.
#[test]
fn only_idempotent_requests_are_retried_after_an_engine_error() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    deployment.services[0].set_faults(EngineFaults {
        error_status: Some(500),
        ..EngineFaults::default()
    });
    let caller = deployment.caller(0);
    for _ in 0..6 {
        let id = Caller::new_request_id();
        let reply = caller.plain("GET", RouteKind::Idempotent.path(), &id);
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    for _ in 0..6 {
        let id = Caller::new_request_id();
        let reply = caller.plain("POST", RouteKind::Once.path(), &id);
        assert!([200, 500].contains(&reply.status), "{reply:?}");
        assert_eq!(deployment.times_run(&id), 1);
    }
}

/// A late response arrives in place of the next one and carries the ID of another
/// request. It must not be forwarded to any caller.
#[test]
fn a_response_to_another_request_is_not_forwarded() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    for service in &deployment.services {
        service.set_faults(EngineFaults {
            sends_other_request_id: true,
            ..EngineFaults::default()
        });
    }
    let id = Caller::new_request_id();
    let reply = deployment
        .caller(0)
        .plain("POST", RouteKind::Once.path(), &id);
    assert_eq!(reply.status, 502);
    assert!(!reply.body.contains("body of"), "{reply:?}");
}

/// An engine refuses a request as not run. Even a request that must run at most
/// once must then be sent to another engine. If all engines refuse it, the caller
/// must get 503 with a time after which to retry.
#[test]
fn a_request_refused_as_not_run_is_sent_to_another_engine() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    let refusal_faults = EngineFaults {
        refuses_as_not_run: true,
        ..EngineFaults::default()
    };
    deployment.services[0].set_faults(refusal_faults.clone());
    let caller = deployment.caller(0);
    for _ in 0..4 {
        let id = Caller::new_request_id();
        assert_eq!(
            caller.plain("POST", RouteKind::Once.path(), &id).status,
            200
        );
    }
    deployment.services[1].set_faults(refusal_faults);
    let id = Caller::new_request_id();
    let began = Instant::now();
    let reply = caller.plain("POST", RouteKind::Once.path(), &id);
    assert_eq!(reply.status, 503);
    assert!(
        reply.retry_after_s().is_some_and(|s| s > 0.0 && s < 3.0),
        "{reply:?}"
    );
    assert!(
        began.elapsed() < Duration::from_millis(500),
        "a refusal must not be delayed"
    );
    assert_eq!(deployment.times_run(&id), 0);
}

/// An engine closes a stream in the middle of an event. The stream must resume at
/// the other engine after the last complete event. The half event must be dropped,
/// so that the caller receives each event exactly once.
#[test]
fn a_resumable_stream_resumes_after_its_engine_breaks_off() {
    let deployment = Deployment::start(PROGRAM, 1, 2);
    let cut_faults = EngineFaults {
        cut_after_events: Some(4),
        sends_half_event: true,
        ..EngineFaults::default()
    };
    deployment.engines[0].set_faults(cut_faults);
    let caller = deployment.caller(0);
    let mut resumed = 0;
    for _ in 0..8 {
        let id = Caller::new_request_id();
        let reply = caller.stream(RouteKind::Resumable.path(), &id);
        assert!(reply.is_complete_stream(), "{reply:?}");
        resumed += usize::from(deployment.times_run(&id) == 2);
    }
    assert!(resumed > 0, "no stream ran at the engine that breaks off");
}

/// An engine stalls in the middle of a stream because its machine is gone, and no
/// connection is reset. Without a check, the caller would wait until its own
/// timeout. The instance must detect that the engine accepts no connection, and
/// resume the stream at the other engine after the last event.
#[test]
fn a_resumable_stream_resumes_after_its_engine_stalls() {
    let deployment = Deployment::start(PROGRAM, 1, 2);
    let silent = EngineFaults {
        silent_after_events: Some(4),
        ..EngineFaults::default()
    };
    deployment.engines[0].set_faults(silent);
    let caller = deployment.caller(0);
    let mut resumed = 0;
    for _ in 0..8 {
        let id = Caller::new_request_id();
        let sent_at = Instant::now();
        let reply = caller.stream(RouteKind::Resumable.path(), &id);
        assert!(reply.is_complete_stream(), "{reply:?}");
        assert!(sent_at.elapsed() < Duration::from_secs(2), "{reply:?}");
        resumed += usize::from(deployment.times_run(&id) == 2);
    }
    assert!(resumed > 0, "no stream ran at the engine that stalls");
}

/// The engine cuts off a stream that must run at most once. The response must not
/// end cleanly, as a complete one does, and the request must not run a second time.
#[test]
fn a_stream_cut_off_without_resume_ends_as_incomplete() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    deployment.engines[0].set_faults(EngineFaults {
        cut_after_events: Some(5),
        ..EngineFaults::default()
    });
    let id = Caller::new_request_id();
    let reply = deployment.caller(0).stream(RouteKind::Stream.path(), &id);
    assert_eq!(reply.status, 200);
    assert!(!reply.is_complete, "{reply:?}");
    assert_eq!(reply.event_ids(), vec![0, 1, 2, 3, 4]);
    assert_eq!(deployment.times_run(&id), 1);
}

/// A caller reads a few events and disconnects. The instance must close its
/// connection to the engine, so that the run ends early and the engine is free.
#[test]
fn a_caller_that_disconnects_ends_the_run_at_the_engine() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    deployment.engines[0].set_faults(EngineFaults {
        event_interval_ms: 150,
        ..EngineFaults::default()
    });
    let id = Caller::new_request_id();
    deployment
        .caller(0)
        .abandon_stream(RouteKind::Stream.path(), &id, 200)
        .expect("the stream begins");
    std::thread::sleep(Duration::from_millis(2_500));
    let runs = deployment.engines[0].runs();
    let run = runs
        .iter()
        .find(|run| run.request_id == id)
        .expect("it ran");
    assert!(
        !run.is_complete,
        "the engine completed a run whose caller had disconnected"
    );
}

/// An engine runs a request that isn't idempotent, such as a charge, and answers
/// with a status that means "not run, retry" when a router sends it. If it were
/// forwarded, the caller would retry the charge. The response must be 502, which
/// states that the request may have run.
#[test]
fn a_not_run_status_of_a_request_that_ran_becomes_502() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    for status in [408, 429, 503] {
        for service in &deployment.services {
            service.set_faults(EngineFaults {
                error_status: Some(status),
                ..EngineFaults::default()
            });
        }
        let id = Caller::new_request_id();
        let reply = deployment
            .caller(0)
            .plain("POST", RouteKind::Once.path(), &id);
        assert_eq!(reply.status, 502, "{status}: {reply:?}");
        assert_eq!(deployment.times_run(&id), 1);
    }
}

/// An engine ends a stream cleanly in the middle of an event, so that the caller
/// would take it for a complete one. It must resume at another engine after the
/// last complete event.
#[test]
fn a_stream_that_ends_within_an_event_resumes_at_another_engine() {
    let deployment = Deployment::start(PROGRAM, 1, 2);
    let set_cut = |engine: usize, is_cut: bool| {
        deployment.engines[engine].set_faults(EngineFaults {
            cut_after_events: is_cut.then_some(4),
            sends_half_event: is_cut,
            ends_cleanly: is_cut,
            ..EngineFaults::default()
        });
    };
    for cut_engine in [0, 1] {
        set_cut(cut_engine, true);
        set_cut(1 - cut_engine, false);
        for _ in 0..4 {
            let caller = deployment.caller(0);
            let reply = caller.stream(RouteKind::Resumable.path(), &Caller::new_request_id());
            assert!(reply.is_complete_stream(), "{reply:?}");
        }
    }
    let runs = deployment.engines.iter().flat_map(|engine| engine.runs());
    assert!(runs.filter(|run| run.last_event_id == Some(3)).count() > 0);
}

/// An engine is gone and stays on the list. A request whose connection was refused
/// has certainly not run, so it must be sent to another engine and not be lost.
#[test]
fn an_engine_that_accepts_no_connection_loses_no_request() {
    let mut deployment = Deployment::start(PROGRAM, 1, 3);
    drop(deployment.engines.remove(0));
    let caller = deployment.caller(0);
    for _ in 0..12 {
        let reply = caller.stream(RouteKind::Stream.path(), &Caller::new_request_id());
        assert!(reply.is_complete_stream(), "{reply:?}");
    }
}

/// An engine is gone, and an unrelated server was started at its address. Responses
/// of that server must not be taken for the engine's. A request that must run at
/// most once may have run, so it ends with 502 and never as not run. One that may
/// run again must be answered by another engine.
#[test]
fn a_response_from_another_server_at_an_engines_address_is_not_forwarded() {
    let mut deployment = Deployment::start(PROGRAM, 1, 2);
    let address = deployment.engines[0].address();
    drop(deployment.engines.remove(0));
    let other_server = TcpListener::bind(address).expect("the address is free again");
    thread::spawn(move || {
        for connection in other_server.incoming().flatten() {
            answer_not_found(connection);
        }
    });
    let caller = deployment.caller(0);
    let mut statuses = Vec::new();
    for _ in 0..12 {
        let id = Caller::new_request_id();
        let reply = caller.stream(RouteKind::Stream.path(), &id);
        assert!(
            reply.is_complete_stream() || reply.status == 502,
            "{reply:?}"
        );
        statuses.push(reply.status);
        let reply = caller.stream(RouteKind::Resumable.path(), &Caller::new_request_id());
        assert!(reply.is_complete_stream(), "{reply:?}");
    }
    assert!(
        statuses.contains(&502),
        "no request reached the other server"
    );
}

/// Reads a request and answers 404, as a server that doesn't have the path.
fn answer_not_found(mut connection: TcpStream) {
    let mut request = [0; 4_096];
    // Fails if the client has disconnected; the test doesn't depend on it.
    let _ = connection.read(&mut request);
    let _ = connection.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
}

/// An engine sets its state to draining. It must get no new requests from any
/// instance, although it would still accept them. The limit is two seconds; the test
/// allows one.
#[test]
fn a_draining_engine_gets_no_new_requests() {
    let deployment = Deployment::start(PROGRAM, 2, 2);
    let draining_engine = &deployment.engines[0];
    deployment.store.write(
        "servers",
        draining_engine.id(),
        draining_engine.entry("draining"),
    );
    std::thread::sleep(Duration::from_millis(1_000));
    let before = draining_engine.runs().len();
    for machine in 0..2 {
        for _ in 0..6 {
            let caller = deployment.caller(machine);
            let reply = caller.stream(RouteKind::Stream.path(), &Caller::new_request_id());
            assert!(reply.is_complete_stream());
        }
    }
    assert_eq!(draining_engine.runs().len(), before);
}

/// The engine list contains a damaged entry and one with an unknown state. They
/// must be ignored, and the engines of the other entries must serve requests.
#[test]
fn a_damaged_list_entry_does_not_affect_other_engines() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    deployment
        .store
        .write("servers", "i-torn", serde_json::json!({ "Service": 7 }));
    let mut forged = deployment.engines[0].entry("ready");
    forged["State"] = serde_json::json!("excellent");
    deployment.store.write("servers", "i-forged", forged);
    wait_until("requests are served", || {
        let reply = deployment
            .caller(0)
            .stream(RouteKind::Stream.path(), &Caller::new_request_id());
        reply.is_complete_stream()
    });
}

/// A request crashes each engine that starts to run it, and its caller retries it
/// through alternating instances. After the third crash all instances must refuse
/// it as not run, and still serve other requests.
#[test]
fn a_request_that_crashes_engines_is_refused_after_three() {
    check_crashing_request(&EngineFaults::default());
}

/// The engine is silent for long enough to be probed and accepts that connection,
/// and the request crashes it shortly afterwards. No further probe is due then,
/// but the crash must still count.
#[test]
fn a_crash_shortly_after_a_probe_is_counted() {
    check_crashing_request(&EngineFaults {
        crash_delay_ms: 600,
        ..EngineFaults::default()
    });
}

/// The connection of a request that crashes its engine closes before the engine's
/// listener does, so the first probe is accepted. The crash must still count.
#[test]
fn a_crash_whose_listener_closes_late_is_counted() {
    check_crashing_request(&EngineFaults {
        listener_lag_ms: 100,
        ..EngineFaults::default()
    });
}

/// Retries a crashing request through alternating instances, and checks that it is
/// refused as not run after three crashes.
fn check_crashing_request(faults: &EngineFaults) {
    let deployment = Deployment::start(PROGRAM, 2, 7);
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults {
            crash_path: Some("/advice/poison".to_owned()),
            ..faults.clone()
        });
    }
    let mut last = 0;
    for number in 0..8 {
        let caller = deployment.caller(number % 2);
        last = caller
            .stream("/advice/poison", &Caller::new_request_id())
            .status;
        // Heartbeats report the crash to the other instance.
        std::thread::sleep(Duration::from_millis(700));
    }
    let crashed = deployment
        .engines
        .iter()
        .filter(|engine| !engine.runs().is_empty());
    assert_eq!(crashed.count(), 3);
    assert_eq!(last, 503);
    let reply = deployment
        .caller(0)
        .stream(RouteKind::Stream.path(), &Caller::new_request_id());
    assert!(reply.is_complete_stream(), "{reply:?}");
}
