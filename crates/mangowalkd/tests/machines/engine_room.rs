//! Engines that crash if the requests that they hold exceed their memory.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{Caller, Deployment, EngineFaults, RouteKind, wait_until},
    serde_json::json,
    std::thread,
};

/// Memory of an engine: eleven streams of the callers.
const MEMORY_TOKENS: u64 = 12_000;

fn deployment(contracts: &str) -> Deployment {
    let mut deployment = Deployment::prepare(PROGRAM, 3, 3);
    deployment.configure(|configuration| {
        configuration["Services"][0]["Engine"]["KvCapacity"] = json!(MEMORY_TOKENS);
    });
    for machine in &mut deployment.machines {
        machine.change_settings(|text| format!("{text}Contracts={contracts}\n"));
        machine.start();
    }
    deployment.wait_until_ready();
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults {
            memory_tokens: Some(MEMORY_TOKENS),
            event_interval_ms: 60,
            ..EngineFaults::default()
        });
    }
    deployment
}

/// Sends this many streams to all machines at the same time, and returns how many were served.
fn send_at_once(deployment: &Deployment, streams: usize) -> usize {
    let send = |machine: usize| {
        let id = Caller::new_request_id();
        let reply = deployment
            .caller(machine)
            .stream(RouteKind::Resumable.path(), &id);
        (reply.status, reply.is_complete_stream())
    };
    let replies: Vec<(u16, bool)> = thread::scope(|scope| {
        let callers: Vec<_> = (0..streams)
            .map(|number| scope.spawn(move || send(number % 3)))
            .collect();
        let replies = callers.into_iter().map(|caller| caller.join());
        replies
            .map(|reply| reply.expect("a caller doesn't panic"))
            .collect()
    });
    for (status, is_complete) in &replies {
        assert!(*is_complete || *status == 503, "answered with {status}");
    }
    replies
        .iter()
        .filter(|(_, is_complete)| *is_complete)
        .count()
}

/// Guards against engines that crash because several instances send to them at once, unknown to
/// each other.
#[test]
fn engines_hold_no_more_than_their_memory() {
    let deployment = deployment("pressure");
    for _ in 0..4 {
        let served = send_at_once(&deployment, 90);
        assert!(served >= 20, "{served} of 90 served");
    }
    for engine in &deployment.engines {
        let most = engine.most_held_tokens();
        assert!(!engine.has_crashed(), "{most} tokens");
        assert!(most <= MEMORY_TOKENS, "{most} tokens");
    }
    wait_until("all of the usable room is told", || {
        let metrics = Caller::get(deployment.machines[0].metrics_address(), "/metrics").body;
        // 0.92 of the memory of three engines.
        metrics.contains("mangowalk_engine_room_usable_tokens 33120\n")
    });
}

/// Guards against instances that send nothing after all of them were killed.
#[test]
fn a_killed_fleet_serves_again() {
    let mut deployment = deployment("pressure");
    for machine in &mut deployment.machines {
        machine.kill();
    }
    for machine in &mut deployment.machines {
        machine.start();
    }
    deployment.wait_until_ready();
    wait_until("all streams are served", || {
        send_at_once(&deployment, 12) == 12
    });
}
