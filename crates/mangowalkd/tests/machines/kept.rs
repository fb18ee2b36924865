//! Parts of prompts in a KV cache store that all engines share.

use {
    super::PROGRAM,
    mangowalk_core::origin::EngineBuild,
    mangowalk_platform_standins::{CacheStore, Caller, Deployment, RouteKind, Run, wait_until},
    serde_json::json,
};

/// Identity of the longest shared prefix of the callers' prompt. The identity of a part
/// includes all parts before it.
const SHARED_PART: &str = "91bd3f06";

/// Returns the cache salt under which engines with a software version store it.
fn salt(software: &str) -> String {
    let build = EngineBuild::new("llm", software).expect("the version is named");
    format!("w1.{build}")
}

/// Starts a deployment with a KV cache store, and waits until all instances reach it.
fn start(machines: usize) -> (Deployment, CacheStore) {
    let store = CacheStore::start();
    let mut deployment = Deployment::prepare(PROGRAM, machines, 3);
    let service = json!({
        "Name": "memory",
        "KvStoreAddr": store.address().to_string(),
        "Zone": "a",
        "KvCapacity": 900_000,
        "MaxInflight": 12,
    });
    deployment.configure(|configuration| {
        let services = configuration["Services"].as_array_mut();
        services.expect("there are services").push(service);
    });
    for machine in &mut deployment.machines {
        machine.start();
    }
    deployment.wait_until_ready();
    for machine in &deployment.machines {
        wait_until("the instance reports that the store answers", || {
            machine.log().contains("event=kept_store_answers")
        });
    }
    (deployment, store)
}

fn send_stream(deployment: &Deployment, machine: usize) -> Run {
    let id = Caller::new_request_id();
    let caller = deployment.caller(machine);
    let reply = caller.stream(RouteKind::Stream.path(), &id);
    assert!(reply.is_complete_stream(), "{reply:?}");
    let runs = deployment.engines.iter().flat_map(|engine| engine.runs());
    let mut runs = runs.filter(|run| run.request_id == id);
    runs.next().expect("an engine ran it")
}

/// After a load of new weights no engine has the beginning of a prompt cached, and
/// many callers send it at the same time through all instances. The single link of
/// the KV cache store would be the next bottleneck. The beginning must be sent over it
/// once and not once per request.
#[test]
fn a_shared_part_is_sent_to_the_store_once() {
    let (deployment, store) = start(2);
    let first = send_stream(&deployment, 0);
    assert_eq!(first.sends_to, Some(store.address().to_string()));
    wait_until("the other instance receives the report", || {
        let run = send_stream(&deployment, 1);
        run.sends_to.is_none()
    });
    let runs: Vec<Run> = (0..6).map(|n| send_stream(&deployment, n % 2)).collect();
    assert!(runs.iter().all(|run| run.sends_to.is_none()), "{runs:?}");
}

/// The KV cache store reports that it holds the beginning of a prompt. An engine
/// that doesn't have it cached must fetch it from there and not send it again.
#[test]
fn a_part_that_the_store_holds_is_fetched_from_it() {
    let (deployment, store) = start(1);
    store.add_part(&salt("v1"), SHARED_PART);
    wait_until("a request fetches what the store holds", || {
        let run = send_stream(&deployment, 0);
        run.fetches_from == Some(store.address().to_string()) && run.sends_to.is_none()
    });
}
