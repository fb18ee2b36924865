//! Entries that another writer left in the store and that can't be read.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{Caller, Deployment, Engine, RouteKind, wait_until},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Time within which an instance in touch with the store heeds a change of the list.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Kinds that the instances read or follow.
const KINDS: [&str; 8] = [
    "servers",
    "config",
    "versions",
    "rollouts",
    "instances",
    "leases",
    "builds",
    "parts",
];

/// Contents that can't be read.
fn odd_specs() -> Vec<Vec<u8>> {
    vec![
        b"{\"Zone\":\"torn \\ud83d\"}".to_vec(),
        b"{\"Zone\":\"\xff\xfe\"}".to_vec(),
        b"{\"Zone\":\"a\x01\nb\"}".to_vec(),
        b"{\"Slots\":1e999}".to_vec(),
        b"{\"Service\":\"desk\",\"Address\":\"127.0.0.1:99999\"}".to_vec(),
        b"{\"Slots\":1,\"Slots\":2}".to_vec(),
        ["[".repeat(100_000), "]".repeat(100_000)]
            .concat()
            .into_bytes(),
        format!("{{\"Zone\":\"{}\"}}", "[".repeat(1 << 20)).into_bytes(),
    ]
}

/// Calls `change` with the kind and a name of each odd entry, before, among and after the
/// names of the others, and its content.
fn for_each_odd_entry(mut change: impl FnMut(&str, &str, &[u8])) {
    for kind in KINDS {
        for (number, spec) in odd_specs().iter().enumerate() {
            let place = ["0", "n", "z"][number % 3];
            change(kind, &format!("{place}-odd-{number}"), spec);
        }
    }
}

fn write_odd_entries(deployment: &Deployment) {
    for_each_odd_entry(|kind, name, spec| deployment.store.write_raw(kind, name, spec));
}

/// Sends plain requests to all instances for a time; each must be served.
fn send_for(deployment: &Deployment, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        for machine in 0..deployment.machines.len() {
            let caller = deployment.caller(machine);
            let id = Caller::new_request_id();
            let reply = caller.plain("POST", RouteKind::Once.path(), &id);
            assert_eq!(reply.status, 200, "{reply:?}");
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Checks that an engine gets requests, and none once its entry has changed.
fn check_last_request(deployment: &Deployment, engine: &Engine, change: impl FnOnce()) {
    wait_until("the engine is used", || {
        send_for(deployment, Duration::from_millis(100));
        !engine.runs().is_empty()
    });
    change();
    thread::sleep(DRAIN_TIME);
    let before = engine.runs().len();
    send_for(deployment, Duration::from_secs(1));
    assert_eq!(engine.runs().len(), before, "requests after the change");
}

/// Checks that all instances follow the list: they use a new engine, and none that drains.
fn check_list_is_followed(deployment: &Deployment, name: &str) {
    let engine = Engine::start(name, "desk", None, "a");
    let write = |state| {
        let entry = engine.entry(state);
        deployment.store.write("servers", engine.id(), entry);
    };
    write("ready");
    check_last_request(deployment, &engine, || write("draining"));
    deployment.store.remove("servers", engine.id());
}

fn check_processes(deployment: &Deployment) {
    for machine in &deployment.machines {
        let state = machine.process_state();
        assert!(!state.contains("gone") && !state.contains('Z'), "{state}");
        assert!(!machine.log().contains("panicked"));
    }
}

/// Guards against an odd entry that keeps instances which start from getting ready, or
/// hides the other entries from them.
#[test]
fn odd_entries_at_the_start_hide_no_other() {
    let mut deployment = Deployment::prepare(PROGRAM, 3, 1);
    write_odd_entries(&deployment);
    for machine in &mut deployment.machines {
        machine.start();
    }
    deployment.wait_until_ready();
    check_list_is_followed(&deployment, "i-new");
    deployment.configure(|_| {});
    let version = deployment.configuration["Version"].to_string();
    let in_force = format!("event=configuration version={version}");
    wait_until("the configuration is in force", || {
        let mut machines = deployment.machines.iter();
        machines.all(|machine| machine.log().contains(&in_force))
    });
    check_processes(&deployment);
}

/// Guards against an odd entry that appears later and ends the following of the list.
#[test]
fn odd_entries_that_appear_hide_no_other() {
    let deployment = Deployment::start(PROGRAM, 3, 1);
    write_odd_entries(&deployment);
    check_list_is_followed(&deployment, "i-beside");
    for_each_odd_entry(|kind, name, _| deployment.store.remove(kind, name));
    check_list_is_followed(&deployment, "i-after");
    check_processes(&deployment);
}

/// Guards against an engine that stays in use by its earlier entry once the newest one
/// can't be read.
#[test]
fn an_engine_whose_entry_turns_odd_is_no_longer_used() {
    let deployment = Deployment::start(PROGRAM, 3, 1);
    for (number, spec) in odd_specs().iter().enumerate() {
        let engine = Engine::start(&format!("i-odd-{number}"), "desk", None, "a");
        let store = &deployment.store;
        store.write("servers", engine.id(), engine.entry("ready"));
        check_last_request(&deployment, &engine, || {
            store.write_raw("servers", engine.id(), spec);
        });
        store.write("servers", engine.id(), engine.entry("ready"));
        let before = engine.runs().len();
        wait_until("an engine with a good entry again is used", || {
            send_for(&deployment, Duration::from_millis(100));
            engine.runs().len() > before
        });
        store.remove("servers", engine.id());
    }
    check_processes(&deployment);
}

/// Guards against a log that repeats an odd entry at each reading, and against odd entries
/// that nobody can see.
#[test]
fn an_odd_entry_is_logged_once_and_counted() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    let machine = &deployment.machines[0];
    let odd = &odd_specs()[0];
    deployment.store.write_raw("servers", "n-odd", odd);
    let count = || {
        machine
            .log()
            .matches("event=engine_refused engine=n-odd")
            .count()
    };
    wait_until("the entry is logged", || count() == 1);
    let metrics = Caller::get(machine.metrics_address(), "/metrics").body;
    let counted = "mangowalk_entry_refused_total{reason=\"servers\"} 1";
    assert!(metrics.contains(counted), "{metrics}");
    // Each outage of the store has the list read anew.
    for _ in 0..3 {
        deployment
            .store
            .set_fault(mangowalk_platform_standins::StoreFault::Busy);
        thread::sleep(Duration::from_millis(500));
        deployment
            .store
            .set_fault(mangowalk_platform_standins::StoreFault::None);
        thread::sleep(Duration::from_millis(1_500));
    }
    assert_eq!(count(), 1, "{}", machine.log());
    deployment
        .store
        .write_raw("servers", "n-odd", &odd_specs()[3]);
    wait_until("the entry's next revision is logged", || count() == 2);
}
