//! Instances that shut down, are killed, are frozen or restart.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{
        Caller, Deployment, EngineFaults, KeepAliveConnection, PathState, Reply, RouteKind,
        wait_until,
    },
    nix::sys::signal::Signal,
    std::time::{Duration, Instant},
};

/// An instance gets SIGTERM while a stream runs. It must report that it isn't
/// ready, leave the addresses of the other instance, still serve callers that
/// hold its old address, complete the stream, and exit before it would be killed.
#[test]
fn a_stopping_instance_finishes_open_streams_and_exits() {
    let mut deployment = Deployment::start(PROGRAM, 2, 1);
    deployment.engines[0].set_faults(EngineFaults {
        event_interval_ms: 120,
        ..EngineFaults::default()
    });
    let caller = deployment.caller(0);
    let stream = std::thread::spawn(move || {
        caller.stream(RouteKind::Stream.path(), &Caller::new_request_id())
    });
    std::thread::sleep(Duration::from_millis(300));
    deployment.machines[0].signal(Signal::SIGTERM);
    wait_until("it reports that it is not ready", || {
        deployment.machines[0].ready_status() == 503
    });
    let stopped_address = deployment.machines[0].caller_address().to_string();
    wait_until("the other instance no longer lists it", || {
        !deployment
            .addresses(&deployment.machines[1])
            .contains(&stopped_address)
    });
    let late_caller = deployment.caller(0);
    let reply = late_caller.plain(
        "GET",
        RouteKind::Idempotent.path(),
        &Caller::new_request_id(),
    );
    assert_eq!(
        reply.status, 200,
        "callers with an old address are still served"
    );
    assert_eq!(reply.header("connection"), Some("close"));
    let reply = stream.join().expect("the caller ends");
    assert!(reply.is_complete_stream(), "{reply:?}");
    let code = deployment.machines[0].wait_for_exit(Duration::from_secs(5));
    assert_eq!(code, Some(0));
}

/// Guards against accepting a request that may run longer than the time left for
/// the shutdown.
#[test]
fn a_request_after_the_address_ttl_of_a_stopping_instance_is_not_run() {
    let deployment = Deployment::start(PROGRAM, 2, 1);
    let machine = &deployment.machines[0];
    machine.change_settings(|text| text.replace("GraceS=4", "GraceS=8"));
    machine.signal(Signal::SIGHUP);
    wait_until("the new grace period is in effect", || {
        machine.log().contains("taken=grace_ms")
    });
    let caller = deployment.caller(0);
    let mut connection = KeepAliveConnection::default();
    let path = RouteKind::Stream.path();
    assert!(
        caller
            .send_on(&mut connection, path, &Caller::new_request_id())
            .is_complete_stream()
    );
    machine.signal(Signal::SIGTERM);
    std::thread::sleep(Duration::from_millis(3_050));
    let id = Caller::new_request_id();
    let reply = caller.send_on(&mut connection, path, &id);
    // An idle connection is closed. A request sent at the same moment isn't read.
    assert!(matches!(reply.status, 0 | 503), "{reply:?}");
    assert_eq!(deployment.times_run(&id), 0);
}

/// Sends a request of a kind to a machine.
fn send(caller: &Caller, kind: RouteKind, id: &str) -> Reply {
    match kind {
        RouteKind::Idempotent => caller.plain("GET", kind.path(), id),
        RouteKind::Once => caller.plain("POST", kind.path(), id),
        RouteKind::Resumable | RouteKind::Stream => caller.stream(kind.path(), id),
    }
}

const KINDS: [RouteKind; 4] = [
    RouteKind::Once,
    RouteKind::Idempotent,
    RouteKind::Stream,
    RouteKind::Resumable,
];

/// Returns a caller whose deadline is close to what its requests take.
fn hurried(deployment: &Deployment) -> Caller {
    Caller {
        deadline_ms: 2_000,
        ..deployment.caller(0)
    }
}

/// Sends requests of all kinds to an instance until the end of its grace period, and returns
/// them with their replies.
fn send_until_exit(deployment: &Deployment, grace_s: u64) -> Vec<(RouteKind, String, Reply)> {
    let caller = hurried(deployment);
    let until = Instant::now() + Duration::from_secs(grace_s);
    std::thread::scope(|scope| {
        let mut sent = Vec::new();
        while Instant::now() < until {
            for kind in KINDS {
                let (caller, id) = (caller.clone(), Caller::new_request_id());
                sent.push(scope.spawn(move || (kind, id.clone(), send(&caller, kind, &id))));
            }
            std::thread::sleep(Duration::from_millis(150));
        }
        let sent = sent.into_iter();
        sent.map(|request| request.join().expect("the caller ends"))
            .collect()
    })
}

/// Stops an instance under requests that take 0.6 and 1.4 s, and returns how many were answered.
fn count_answered_while_stopping(grace_s: u64) -> usize {
    let mut deployment = Deployment::prepare(PROGRAM, 1, 1).with_grace(grace_s);
    for engine in deployment.engines.iter().chain(&deployment.services) {
        engine.set_faults(EngineFaults {
            plain_duration_ms: 600,
            event_interval_ms: 120,
            ..EngineFaults::default()
        });
    }
    let caller = hurried(&deployment);
    for kind in KINDS {
        assert_eq!(send(&caller, kind, &Caller::new_request_id()).status, 200);
    }
    deployment.machines[0].signal(Signal::SIGTERM);
    let requests = send_until_exit(&deployment, grace_s);
    let answered = count_answered(&deployment, &requests, &format!("grace of {grace_s} s"));
    let code = deployment.machines[0].wait_for_exit(Duration::from_secs(5));
    assert_eq!(code, Some(0));
    answered
}

/// Checks that each request was answered in full, refused as not run with a time to come back,
/// or not read, and returns how many were answered.
fn count_answered(
    deployment: &Deployment,
    requests: &[(RouteKind, String, Reply)],
    case: &str,
) -> usize {
    for (kind, id, reply) in requests {
        let runs = deployment.times_run(id);
        let case = format!("{case}, {kind:?}: {runs} runs, {reply:?}");
        match reply.status {
            200 => assert!(reply.is_complete, "{case}"),
            503 => assert!(runs == 0 && reply.retry_after_s().is_some(), "{case}"),
            0 => assert_eq!(runs, 0, "{case}"),
            _ => panic!("{case}"),
        }
    }
    let replies = requests.iter().map(|(_, _, reply)| reply);
    replies.filter(|reply| reply.status == 200).count()
}

/// Guards against requests that are taken late in the grace period and cut off at its end, with
/// no answer: each is answered in full, or refused as not run with a time to come back, or not
/// read.
#[test]
fn late_requests_to_a_stopping_instance_are_answered_or_not_run() {
    let stops = [1, 2, 4, 8].map(|grace_s| {
        std::thread::spawn(move || (grace_s, count_answered_while_stopping(grace_s)))
    });
    for stop in stops {
        let (grace_s, answered) = stop.join().expect("the requests are answered or not run");
        assert!(grace_s < 4 || answered > 0, "callers are served meanwhile");
    }
}

/// Guards against late requests that are cut off behind a peer, as the instance that passes them on
/// stops, or the peer does.
#[test]
fn late_requests_behind_a_peer_are_answered_or_not_run() {
    for stopping in [0, 1] {
        let (mut deployment, paths, _gates) = Deployment::start_with_paths(PROGRAM, 2, 1);
        paths[0].set(PathState::Reset);
        let caller = hurried(&deployment);
        wait_until("the instance passes requests on", || {
            let replies = KINDS.map(|kind| send(&caller, kind, &Caller::new_request_id()));
            let is_served = replies.iter().all(|reply| reply.status == 200);
            is_served && deployment.machines[0].log().contains("event=passed_on")
        });
        for engine in deployment.engines.iter().chain(&deployment.services) {
            engine.set_faults(EngineFaults {
                plain_duration_ms: 600,
                event_interval_ms: 120,
                ..EngineFaults::default()
            });
        }
        for kind in KINDS {
            send(&caller, kind, &Caller::new_request_id());
        }
        deployment.machines[stopping].signal(Signal::SIGTERM);
        let requests = send_until_exit(&deployment, 4);
        count_answered(
            &deployment,
            &requests,
            &format!("instance {stopping} stops"),
        );
        let code = deployment.machines[stopping].wait_for_exit(Duration::from_secs(5));
        assert_eq!(code, Some(0));
    }
}

/// Guards against closing the connections of requests that are open when the grace period ends:
/// their callers get an answer that tells that the request may have run.
#[test]
fn requests_that_are_open_at_the_exit_get_an_answer() {
    let mut deployment = Deployment::prepare(PROGRAM, 1, 1).with_grace(2);
    for service in &deployment.services {
        service.set_faults(EngineFaults {
            plain_duration_ms: 4_000,
            ..EngineFaults::default()
        });
    }
    let caller = deployment.caller(0);
    let id = Caller::new_request_id();
    let open = {
        let (caller, id) = (caller.clone(), id.clone());
        std::thread::spawn(move || send(&caller, RouteKind::Once, &id))
    };
    std::thread::sleep(Duration::from_millis(300));
    deployment.machines[0].signal(Signal::SIGTERM);
    let reply = open.join().expect("the caller ends");
    assert_eq!(reply.status, 502, "{reply:?}");
    assert!(reply.is_complete, "{reply:?}");
    let code = deployment.machines[0].wait_for_exit(Duration::from_secs(5));
    assert_eq!(code, Some(0));
}

/// A killed instance can't announce its end. The others must remove it from their
/// addresses, and list it again after it restarts.
#[test]
fn a_killed_instance_leaves_the_addresses_until_it_restarts() {
    let mut deployment = Deployment::start(PROGRAM, 3, 1);
    let stopped_address = deployment.machines[2].caller_address().to_string();
    deployment.machines[2].kill();
    wait_until("the other instances no longer list it", || {
        (0..2).all(|m| {
            !deployment
                .addresses(&deployment.machines[m])
                .contains(&stopped_address)
        })
    });
    deployment.machines[2].start();
    deployment.wait_until_ready();
}

/// All instances are killed and restarted together. They must find each other and
/// serve requests, although each knows only what the store contains.
#[test]
fn all_instances_serve_after_a_common_restart() {
    let mut deployment = Deployment::start(PROGRAM, 3, 1);
    for machine in &mut deployment.machines {
        machine.kill();
    }
    for machine in &mut deployment.machines {
        machine.start();
    }
    deployment.wait_until_ready();
    let reply = deployment
        .caller(1)
        .stream(RouteKind::Stream.path(), &Caller::new_request_id());
    assert!(reply.is_complete_stream());
}

/// An instance is frozen by SIGSTOP. The other one must remove it from its
/// addresses, and it must serve requests again after SIGCONT.
#[test]
fn a_frozen_instance_leaves_the_addresses_and_serves_when_resumed() {
    let deployment = Deployment::start(PROGRAM, 2, 1);
    let frozen_address = deployment.machines[1].caller_address().to_string();
    deployment.machines[1].signal(Signal::SIGSTOP);
    wait_until("the other instance no longer lists it", || {
        !deployment
            .addresses(&deployment.machines[0])
            .contains(&frozen_address)
    });
    deployment.machines[1].signal(Signal::SIGCONT);
    deployment.wait_until_ready();
    let reply = deployment.caller(1).plain(
        "GET",
        RouteKind::Idempotent.path(),
        &Caller::new_request_id(),
    );
    assert_eq!(reply.status, 200);
}
