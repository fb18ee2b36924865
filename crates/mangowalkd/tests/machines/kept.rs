//! Parts of prompts that a store keeps for all engines.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{CacheStore, Caller, Deployment, RouteKind, Run, wait_until},
    serde_json::json,
};

/// The longest shared part of the callers' prompt, and the text under which
/// engines keep it.
const SHARED_PART: &str = "91bd3f06";
const SALT: &str = "w1";

/// Starts a deployment whose engines can send parts to a store.
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
        wait_until("the instance knows that the store answers", || {
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

/// New weights were loaded, and no engine holds a prompt's head. Many callers
/// ask with it at once, through all instances. The store's one link is what they
/// wait for next; it must carry the head once, not once for each of them.
#[test]
fn a_shared_part_is_sent_to_the_store_once() {
    let (deployment, store) = start(2);
    let first = send_stream(&deployment, 0);
    assert_eq!(first.sends_to, Some(store.address().to_string()));
    wait_until("the other instance hears of it", || {
        let run = send_stream(&deployment, 1);
        run.sends_to.is_none()
    });
    let runs: Vec<Run> = (0..6).map(|n| send_stream(&deployment, n % 2)).collect();
    assert!(runs.iter().all(|run| run.sends_to.is_none()), "{runs:?}");
}

/// The store tells that it holds the head of a prompt. An engine that hasn't
/// read it fetches it there, and doesn't send it again.
#[test]
fn a_part_that_the_store_holds_is_fetched_from_it() {
    let (deployment, store) = start(1);
    store.add_part(SALT, SHARED_PART);
    wait_until("a request fetches what the store holds", || {
        let run = send_stream(&deployment, 0);
        run.fetches_from == Some(store.address().to_string()) && run.sends_to.is_none()
    });
}
