//! Instances that shut down, are killed, are frozen or restart.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{
        Caller, Deployment, EngineFaults, KeepAliveConnection, RouteKind, wait_until,
    },
    nix::sys::signal::Signal,
    std::time::Duration,
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
