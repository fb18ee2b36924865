//! Engines that were replaced by others at their addresses, while the list still has them.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{Caller, Deployment, Engine, RouteKind, wait_until},
    serde_json::json,
    std::{thread, time::Duration},
};

/// ID under which the engine of the plain service ran before.
const FORMER: &str = "desk-former";

/// Writes an entry of an earlier start at an engine's address.
fn list_former(deployment: &Deployment, engine: &Engine) {
    let mut entry = engine.entry("ready");
    entry["born"] = json!(1);
    deployment.store.write("servers", FORMER, entry);
}

fn send(deployment: &Deployment, machine: usize) -> u16 {
    let (caller, id) = (deployment.caller(machine), Caller::new_request_id());
    let path = RouteKind::Idempotent.path();
    caller.plain("GET", path, &id).status
}

/// Returns the number of requests that the engine answered with 421.
fn misdirected(engine: &Engine) -> usize {
    engine.arrivals().len() - engine.runs().len()
}

/// Guards against requests of each instance to an engine that one of them knows to be replaced,
/// while the list can't tell, as the former entry was written last.
#[test]
fn peers_hear_of_a_replaced_engine() {
    let deployment = Deployment::start(PROGRAM, 3, 1);
    let engine = &deployment.services[0];
    deployment
        .store
        .remove("servers", deployment.services[1].id());
    list_former(&deployment, engine);
    wait_until("a request was sent to the former ID", || {
        assert_eq!(send(&deployment, 0), 200);
        misdirected(engine) > 0
    });
    thread::sleep(Duration::from_millis(500));
    let before = misdirected(engine);
    for turn in 0..60 {
        assert_eq!(send(&deployment, turn % 3), 200);
    }
    assert_eq!(misdirected(engine), before);
}

/// Guards against requests to an engine after the list has the later one at its address.
#[test]
fn a_listed_engine_replaces_the_former_one_at_its_address() {
    let deployment = Deployment::start(PROGRAM, 3, 1);
    let engine = &deployment.services[0];
    list_former(&deployment, engine);
    let mut entry = engine.entry("ready");
    entry["Seq"] = json!(2);
    deployment.store.write("servers", engine.id(), entry);
    thread::sleep(Duration::from_millis(500));
    let before = misdirected(engine);
    for turn in 0..60 {
        assert_eq!(send(&deployment, turn % 3), 200);
    }
    assert_eq!(misdirected(engine), before);
}
