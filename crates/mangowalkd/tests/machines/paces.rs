//! Engines that name their pace.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{
        Caller, Deployment, Engine, EngineFaults, RouteKind, wait_until,
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

fn name_pace(engine: &Engine, pace_percent: u32) {
    engine.set_faults(EngineFaults {
        pace_percent: Some(pace_percent),
        ..EngineFaults::default()
    });
}

/// Sends plain requests to the first machine for a time.
fn send_for(deployment: &Deployment, time: Duration) {
    let until = Instant::now() + time;
    let caller = deployment.caller(0);
    while Instant::now() < until {
        let reply = caller.plain("POST", RouteKind::Once.path(), &Caller::new_request_id());
        assert_eq!(reply.status, 200, "{reply:?}");
        thread::sleep(Duration::from_millis(10));
    }
}

fn metrics(deployment: &Deployment, machine: usize) -> String {
    let address = deployment.machines[machine].metrics_address();
    Caller::get(address, "/metrics").body
}

/// Guards against instances that learn of a slow engine only by their own requests, against one
/// that gets as much work as others, and against one that counts as slow after its last answer.
#[test]
fn peers_are_told_of_a_slow_engine_and_it_gets_less_work() {
    let deployment = Deployment::start(PROGRAM, 3, 1);
    let [usual, slow] = &deployment.services[..] else {
        panic!("there are two engines of the plain service");
    };
    name_pace(usual, 100);
    name_pace(slow, 400);
    send_for(&deployment, Duration::from_secs(1));
    let line = format!("mangowalk_engine_pace_percent{{engine=\"{}\"}}", slow.id());
    for machine in 0..3 {
        let metrics = metrics(&deployment, machine);
        assert!(metrics.contains(&line), "{machine}: {metrics}");
        assert!(
            metrics.contains("mangowalk_engines_slowed 1\n"),
            "{machine}: {metrics}"
        );
    }
    let (usual_before, slow_before) = (usual.runs().len(), slow.runs().len());
    send_for(&deployment, Duration::from_secs(2));
    let to_usual = usual.runs().len() - usual_before;
    let to_slow = slow.runs().len() - slow_before;
    assert!(
        to_slow > 0 && to_slow * 2 < to_usual,
        "{to_slow} {to_usual}"
    );
    name_pace(slow, 100);
    send_for(&deployment, Duration::from_secs(1));
    for machine in 0..3 {
        wait_until("no engine counts as slow", || {
            metrics(&deployment, machine).contains("mangowalk_engines_slowed 0\n")
        });
    }
}
