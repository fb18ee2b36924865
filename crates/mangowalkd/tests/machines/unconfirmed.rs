//! A store whose cheaper reads lag, while the instances that read current state can't tell the
//! others of changes.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{Caller, Deployment, EnginePaths, PathState, RouteKind},
    serde_json::json,
    std::{
        ops::Range,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

const INSTANCES: usize = 5;

/// Number of instances that read current state: the first by name.
const READERS: usize = 2;

/// Time within which a change must apply at all instances, by the machines' settings.
const MAX_APPLY: Duration = Duration::from_millis(2_000);

/// Time until the instances know their peers, and that of the first watches.
const SETTLING: Duration = Duration::from_millis(2_800);

/// Starts a deployment whose reads that may lag do so from now on.
fn start_lagging() -> (Deployment, Vec<Arc<EnginePaths>>) {
    let started = Deployment::start_with_store_paths(PROGRAM, INSTANCES, 2);
    thread::sleep(SETTLING);
    started.0.store.set_lagging(true);
    started
}

/// Removes a key and returns when the store has acknowledged it.
fn remove_key(deployment: &mut Deployment) -> Instant {
    deployment.configure(|configuration| {
        configuration["Tenants"][1]["ApiKeys"] = json!([]);
    });
    Instant::now()
}

/// Checks that instances reject the removed key once the change must apply.
fn assert_key_is_rejected(deployment: &Deployment, instances: Range<usize>, at: Instant) {
    thread::sleep(MAX_APPLY.saturating_sub(at.elapsed()));
    for machine in instances {
        let mut caller = deployment.caller(machine);
        caller.key = Some("key-of-walled".to_owned());
        let path = RouteKind::Idempotent.path();
        let reply = caller.plain("GET", path, &Caller::new_request_id());
        assert_eq!(reply.status, 401, "instance {machine}: {reply:?}");
    }
}

/// The readers are cut off from the store without a reset, and a key is removed just after
/// that. Guards against instances that accept it until the readers notice the cut.
#[test]
fn a_removed_key_is_rejected_in_time_while_the_readers_are_cut_off() {
    let (mut deployment, paths) = start_lagging();
    for path in &paths[..READERS] {
        path.set(PathState::Silent);
    }
    let removed = remove_key(&mut deployment);
    assert_key_is_rejected(&deployment, READERS..INSTANCES, removed);
}

/// All open connections to the store fall silent and new ones work, and a key is removed just
/// after that. Guards against calls that wait on one silent connection after the other.
#[test]
fn a_removed_key_is_rejected_in_time_after_connections_fell_silent() {
    let (mut deployment, paths) = start_lagging();
    for path in &paths {
        path.set(PathState::Silent);
    }
    // The connections have to see the silence before new ones work.
    thread::sleep(Duration::from_millis(100));
    for path in &paths {
        path.set(PathState::OpenAnew);
    }
    let removed = remove_key(&mut deployment);
    assert_key_is_rejected(&deployment, 0..INSTANCES, removed);
}

/// The readers are cut off from the store without a reset, and an engine begins to drain.
/// Guards against requests to it after the time for which it goes on serving.
#[test]
fn a_draining_engine_gets_no_requests_in_time_while_the_readers_are_cut_off() {
    let (deployment, paths) = start_lagging();
    for path in &paths[..READERS] {
        path.set(PathState::Silent);
    }
    assert_engine_drains_in_time(&deployment);
}

/// The readers are killed, and an engine begins to drain. Guards against instances that take
/// their place only once a watch of their own that may lag has ended.
#[test]
fn a_draining_engine_gets_no_requests_in_time_after_the_readers_were_killed() {
    let (mut deployment, _paths) = start_lagging();
    for machine in &mut deployment.machines[..READERS] {
        machine.kill();
    }
    assert_engine_drains_in_time(&deployment);
}

/// Lets an engine drain, and checks that the instances that aren't readers send it nothing
/// once it may stop.
fn assert_engine_drains_in_time(deployment: &Deployment) {
    let engine = &deployment.services[0];
    deployment
        .store
        .write("servers", engine.id(), engine.entry("draining"));
    thread::sleep(MAX_APPLY);
    let before = engine.runs().len();
    for machine in READERS..INSTANCES {
        for _ in 0..6 {
            let caller = deployment.caller(machine);
            let path = RouteKind::Once.path();
            let reply = caller.plain("POST", path, &Caller::new_request_id());
            assert_eq!(reply.status, 200, "instance {machine}: {reply:?}");
        }
    }
    assert_eq!(engine.runs().len(), before);
}
