//! A store whose cheaper reads lag, and one whose entries have expired.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{Caller, Deployment, Engine, RouteKind, StoreFault, wait_until},
    serde_json::json,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Number of instances, more than those that make current reads of the store.
const INSTANCES: usize = 5;

/// Maximum time until a change takes effect at all instances.
const MAX_PROPAGATION: Duration = Duration::from_millis(1_500);

/// Time within which a configuration must apply, by the machines' settings.
const MAX_APPLY: Duration = Duration::from_millis(2_000);

/// Duration of the first watches of an instance. They are current reads, because it
/// has received no peer's heartbeat yet.
const INITIAL_WATCHES: Duration = Duration::from_millis(2_800);

/// Makes all reads that may lag do so from now on.
fn make_reads_lag(deployment: &Deployment) {
    thread::sleep(INITIAL_WATCHES);
    deployment.store.set_lagging(true);
}

/// Sends requests to each instance and returns the engine that ran the most of them.
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

/// An engine drains while the reads of most instances lag by seconds. They would
/// still send requests to it, which fail once it ends. Two instances make current
/// reads and report the change to the others, so no instance may send it a request.
#[test]
fn a_draining_engine_gets_no_requests_while_reads_lag() {
    let deployment = Deployment::start(PROGRAM, INSTANCES, 2);
    let draining_engine = busiest_engine(&deployment);
    make_reads_lag(&deployment);
    deployment.store.write(
        "servers",
        draining_engine.id(),
        draining_engine.entry("draining"),
    );
    thread::sleep(MAX_PROPAGATION);
    let before = draining_engine.runs().len();
    send_to_all_instances(&deployment);
    assert_eq!(draining_engine.runs().len(), before);
}

/// The same with an engine that is removed from the list without draining first.
#[test]
fn an_engine_removed_from_the_list_gets_no_requests_while_reads_lag() {
    let deployment = Deployment::start(PROGRAM, INSTANCES, 2);
    let removed_engine = busiest_engine(&deployment);
    make_reads_lag(&deployment);
    deployment.store.remove("servers", removed_engine.id());
    thread::sleep(MAX_PROPAGATION);
    let before = removed_engine.runs().len();
    send_to_all_instances(&deployment);
    assert_eq!(removed_engine.runs().len(), before);
}

/// A key is withdrawn and new weights are published while reads lag. Both must take
/// effect at each instance in time, by reports of the instances with current reads.
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
        wait_until("the instance rejects the key", || {
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

/// The instances that make current reads are killed while reads lag, and a key is
/// withdrawn at the same time. Other instances must take over the current reads, so that
/// each rejects the key in time.
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
        wait_until("the instance rejects the key", || {
            let reply = caller.plain(
                "GET",
                RouteKind::Idempotent.path(),
                &Caller::new_request_id(),
            );
            reply.status == 401
        });
    }
    assert!(changed.elapsed() < MAX_APPLY, "{:?}", changed.elapsed());
}

/// Calls to the store are billed, and a read that may lag costs a tenth of a current
/// one. While nothing changes, only few of many instances may make current reads.
#[test]
fn few_instances_make_current_reads_while_nothing_changes() {
    let deployment = Deployment::start(PROGRAM, INSTANCES, 2);
    thread::sleep(Duration::from_secs(3));
    let before = deployment.store.current_calls();
    thread::sleep(Duration::from_secs(5));
    let calls = deployment.store.current_calls() - before;
    // Two instances with watches of 0.9 seconds on one kind and 5 seconds on two make 15
    // calls in 5 seconds.
    assert!((6..=18).contains(&calls), "{calls} calls");
}

/// The store is unavailable for seconds, and the engines' entries expire meanwhile.
/// They are rewritten within two seconds of its recovery. Callers must be served
/// throughout, since the engines have never stopped.
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

/// The store is unavailable, and an engine's entry expires and isn't rewritten. After
/// the grace period the engine must get no requests.
#[test]
fn an_engine_whose_entry_stays_missing_is_removed_after_the_grace_period() {
    let deployment = Deployment::start(PROGRAM, 2, 2);
    let removed_engine = busiest_engine(&deployment);
    deployment.store.set_fault(StoreFault::Busy);
    thread::sleep(Duration::from_millis(1_500));
    deployment.store.remove("servers", removed_engine.id());
    deployment.store.set_fault(StoreFault::None);
    thread::sleep(Duration::from_millis(4_500));
    let before = removed_engine.runs().len();
    send_to_all_instances(&deployment);
    assert_eq!(removed_engine.runs().len(), before);
}
