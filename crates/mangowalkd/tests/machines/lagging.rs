//! A store whose cheaper readings lag, and one from which entries lapsed.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{Caller, Deployment, Engine, RouteKind, StoreFault, wait_until},
    serde_json::json,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Instances beyond those that read the store currently.
const INSTANCES: usize = 5;

/// Time in which no change may need longer to be known everywhere.
const MAX_PROPAGATION: Duration = Duration::from_millis(1_500);

/// Time of the watches with which an instance begins, which are current as it
/// hears no peer yet.
const INITIAL_WATCHES: Duration = Duration::from_millis(2_800);

/// Lets the readings of all but the current readers lag from now on.
fn make_reads_lag(deployment: &Deployment) {
    thread::sleep(INITIAL_WATCHES);
    deployment.store.set_lagging(true);
}

/// Lets callers of each instance ask, and returns the engine that ran the most.
fn busiest_engine(deployment: &Deployment) -> &Engine {
    send_to_all_instances(deployment);
    let engines = deployment.engines.iter();
    engines
        .max_by_key(|engine| engine.runs().len())
        .expect("there are engines")
}

fn send_to_all_instances(deployment: &Deployment) {
    for machine in 0..deployment.machines.len() {
        for _ in 0..6 {
            let caller = deployment.caller(machine);
            let reply = caller.stream(RouteKind::Stream.path(), &Caller::new_request_id());
            assert!(reply.is_complete_stream(), "instance {machine}: {reply:?}");
        }
    }
}

/// An engine leaves while most instances' readings lag by seconds. Callers of
/// each would still be sent to it, and fail once it ends. Two instances read
/// currently and tell the others, so that none gets work there.
#[test]
fn a_draining_engine_gets_no_requests_while_reads_lag() {
    let deployment = Deployment::start(PROGRAM, INSTANCES, 2);
    let leaving = busiest_engine(&deployment);
    make_reads_lag(&deployment);
    deployment
        .store
        .write("servers", leaving.id(), leaving.entry("draining"));
    thread::sleep(MAX_PROPAGATION);
    let before = leaving.runs().len();
    send_to_all_instances(&deployment);
    assert_eq!(leaving.runs().len(), before);
}

/// The same with an engine that leaves the list without a word before.
#[test]
fn an_engine_removed_from_the_list_gets_no_requests_while_reads_lag() {
    let deployment = Deployment::start(PROGRAM, INSTANCES, 2);
    let gone = busiest_engine(&deployment);
    make_reads_lag(&deployment);
    deployment.store.remove("servers", gone.id());
    thread::sleep(MAX_PROPAGATION);
    let before = gone.runs().len();
    send_to_all_instances(&deployment);
    assert_eq!(gone.runs().len(), before);
}

/// A key is withdrawn and new weights are named while readings lag. Both are in
/// force at each instance soon, by what the current readers tell.
#[test]
fn new_versions_take_effect_while_reads_lag() {
    let mut deployment = Deployment::start(PROGRAM, INSTANCES, 2);
    make_reads_lag(&deployment);
    let changed = Instant::now();
    deployment.configure(|configuration| {
        configuration["Tenants"][1]["ApiKeys"] = json!([]);
    });
    deployment.publish_weights(2);
    for machine in 0..INSTANCES {
        let mut caller = deployment.caller(machine);
        caller.key = Some("key-of-walled".to_owned());
        wait_until("the key is out", || {
            let reply = caller.plain(
                "GET",
                RouteKind::Idempotent.path(),
                &Caller::new_request_id(),
            );
            reply.status == 401
        });
    }
    assert!(
        changed.elapsed() < MAX_PROPAGATION,
        "{:?}",
        changed.elapsed()
    );
    wait_until("the engines have the new weights", || {
        deployment
            .engines
            .iter()
            .all(|engine| engine.version() == 2)
    });
}

/// The instances that read currently are killed while readings lag, and a key is
/// withdrawn just then. The next ones take their place within a second.
#[test]
fn other_instances_take_over_current_reads_when_the_first_are_killed() {
    let mut deployment = Deployment::start(PROGRAM, INSTANCES, 1);
    make_reads_lag(&deployment);
    deployment.machines[0].kill();
    deployment.machines[1].kill();
    deployment.configure(|configuration| {
        configuration["Tenants"][1]["ApiKeys"] = json!([]);
    });
    let changed = Instant::now();
    for machine in 2..INSTANCES {
        let mut caller = deployment.caller(machine);
        caller.key = Some("key-of-walled".to_owned());
        wait_until("the key is out", || {
            let reply = caller.plain(
                "GET",
                RouteKind::Idempotent.path(),
                &Caller::new_request_id(),
            );
            reply.status == 401
        });
    }
    // Half a watch that was begun before, and the time until the two are missed.
    assert!(
        changed.elapsed() < Duration::from_secs(6),
        "{:?}",
        changed.elapsed()
    );
}

/// Calls to the store are paid for, and a reading that may lag costs a tenth.
/// While nothing changes, few instances of many read currently.
#[test]
fn few_instances_make_current_reads_while_nothing_changes() {
    let deployment = Deployment::start(PROGRAM, INSTANCES, 2);
    thread::sleep(Duration::from_secs(3));
    let before = deployment.store.current_calls();
    thread::sleep(Duration::from_secs(5));
    let calls = deployment.store.current_calls() - before;
    // Two instances, three kinds, a watch of two and a half seconds each.
    assert!((6..=18).contains(&calls), "{calls} calls");
}

/// The store is away for seconds and the engines' entries lapse meanwhile. They
/// come back within two seconds of its return. Callers must be served all the
/// while: the engines have never stopped.
#[test]
fn engines_whose_entries_expired_are_used_until_they_are_rewritten() {
    let deployment = Deployment::start(PROGRAM, 2, 2);
    deployment.store.set_fault(StoreFault::Busy);
    thread::sleep(Duration::from_millis(1_500));
    let engines = deployment.engines.iter().chain(&deployment.services);
    for engine in engines.clone() {
        deployment.store.remove("servers", engine.id());
    }
    deployment.store.set_fault(StoreFault::None);
    let until = Instant::now() + Duration::from_millis(1_500);
    while Instant::now() < until {
        for machine in 0..2 {
            let caller = deployment.caller(machine);
            let reply = caller.plain(
                "GET",
                RouteKind::Idempotent.path(),
                &Caller::new_request_id(),
            );
            assert_eq!(reply.status, 200, "{reply:?}");
        }
        thread::sleep(Duration::from_millis(50));
    }
    for engine in engines {
        deployment
            .store
            .write("servers", engine.id(), engine.entry("ready"));
    }
    thread::sleep(Duration::from_secs(2));
    let reply = deployment.caller(0).plain(
        "GET",
        RouteKind::Idempotent.path(),
        &Caller::new_request_id(),
    );
    assert_eq!(reply.status, 200, "{reply:?}");
}

/// The store is away, an engine's entry lapses and stays away. After the grace
/// the engine counts as gone.
#[test]
fn an_engine_whose_entry_stays_missing_is_removed_after_the_grace_period() {
    let deployment = Deployment::start(PROGRAM, 2, 2);
    let gone = busiest_engine(&deployment);
    deployment.store.set_fault(StoreFault::Busy);
    thread::sleep(Duration::from_millis(1_500));
    deployment.store.remove("servers", gone.id());
    deployment.store.set_fault(StoreFault::None);
    thread::sleep(Duration::from_millis(4_500));
    let before = gone.runs().len();
    send_to_all_instances(&deployment);
    assert_eq!(gone.runs().len(), before);
}
