//! Engines that leave while an instance can't read the engine list.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{Caller, Deployment, Engine, RouteKind, StoreGate},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Time within which all peers of an instance have read a change and reported it.
const PEER_REPORT_DELAY: Duration = Duration::from_millis(1_500);

/// Longer than a report of a peer stays valid without being repeated.
const PAST_REPORT_LIFETIME: Duration = Duration::from_secs(12);

/// Time for an instance to read the list again after store access returns.
const LIST_REREAD_DELAY: Duration = Duration::from_secs(3);

/// The machine behind the gate. Its instance is the nearest to the engine that
/// leaves.
const GATED_MACHINE: usize = 0;

/// Starts a deployment in which `GATED_MACHINE` reaches the store through a gate.
fn start_behind_gate(instances: usize) -> (Deployment, StoreGate) {
    let mut deployment = Deployment::prepare(PROGRAM, instances, 1);
    let gate = StoreGate::new(&deployment.store);
    deployment.machines[GATED_MACHINE].use_gate(&gate);
    for machine in &mut deployment.machines {
        machine.start();
    }
    deployment.wait_until_ready();
    (deployment, gate)
}

/// Sends plain requests to an instance for a time; each must be served.
fn send_orders_for(deployment: &Deployment, machine: usize, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        let caller = deployment.caller(machine);
        let reply = caller.plain("POST", RouteKind::Once.path(), &Caller::new_request_id());
        assert_eq!(reply.status, 200, "{reply:?}");
        thread::sleep(Duration::from_millis(100));
    }
}

/// Removes an engine that is in use from the list without draining it first, and waits
/// until peers have reported it. The engine keeps serving.
fn remove_from_list(deployment: &Deployment, engine: &Engine) {
    send_orders_for(deployment, GATED_MACHINE, Duration::from_millis(300));
    assert!(!engine.runs().is_empty(), "the engine is used");
    deployment.store.remove("servers", engine.id());
    thread::sleep(PEER_REPORT_DELAY);
}

/// Guards against requests to an engine whose departure peers reported, after that
/// report has expired at an instance that the store refuses.
#[test]
fn an_engine_that_left_gets_no_requests_while_the_store_refuses_the_instance() {
    let (deployment, gate) = start_behind_gate(3);
    let engine = &deployment.services[0];
    gate.close();
    remove_from_list(&deployment, engine);
    let before = engine.runs().len();
    send_orders_for(&deployment, GATED_MACHINE, PAST_REPORT_LIFETIME);
    assert_eq!(engine.runs().len(), before);
}

/// An instance regains access to the store, and the entry of an engine whose departure
/// peers had reported is missing. Guards against taking the entry for one that expired
/// while the store was unavailable, which would keep the engine in use.
#[test]
fn an_engine_that_left_gets_no_requests_after_the_list_is_read_again() {
    let (deployment, gate) = start_behind_gate(3);
    let engine = &deployment.services[0];
    gate.close();
    remove_from_list(&deployment, engine);
    thread::sleep(PAST_REPORT_LIFETIME);
    let before = engine.runs().len();
    gate.open();
    send_orders_for(&deployment, GATED_MACHINE, LIST_REREAD_DELAY);
    assert_eq!(engine.runs().len(), before);
}
