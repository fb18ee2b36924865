//! Instances that reach no engine, while callers, the store and their peers reach them.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{
        Caller, Deployment, EngineFaults, EnginePaths, PathState, RouteKind,
    },
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

const KINDS: [RouteKind; 4] = [
    RouteKind::Resumable,
    RouteKind::Stream,
    RouteKind::Idempotent,
    RouteKind::Once,
];

/// Time from a cut from which its callers have to be served as well as others.
const DETECTION_TIME: Duration = Duration::from_millis(3_000);

/// Sends a request and returns whether it was served at the first attempt.
fn is_served(deployment: &Deployment, machine: usize, kind: RouteKind) -> bool {
    let caller = Caller {
        deadline_ms: 1_000,
        ..deployment.caller(machine)
    };
    let id = Caller::new_request_id();
    match kind {
        RouteKind::Resumable | RouteKind::Stream => {
            caller.stream(kind.path(), &id).is_complete_stream()
        }
        RouteKind::Idempotent => caller.plain("GET", kind.path(), &id).status == 200,
        RouteKind::Once => {
            let status = caller.plain("POST", kind.path(), &id).status;
            assert!(deployment.times_run(&id) <= 1, "{id} ran twice");
            let is_refused = [408, 421, 429, 503].contains(&status);
            assert!(!is_refused || deployment.times_run(&id) == 0, "{id} ran");
            status == 200
        }
    }
}

/// Sends requests of all kinds to a machine and returns how many were sent and served.
fn count_served(deployment: &Deployment, machine: usize, rounds: usize) -> (usize, usize) {
    let kinds = KINDS.iter().cycle().take(rounds * KINDS.len());
    let served = kinds
        .clone()
        .filter(|kind| is_served(deployment, machine, **kind));
    (kinds.count(), served.count())
}

/// Keeps sending requests to a machine for a time, as its callers do.
fn keep_sending(deployment: &Deployment, machine: usize, within: Duration) {
    let until = Instant::now() + within;
    for kind in KINDS.iter().cycle() {
        if Instant::now() >= until {
            return;
        }
        is_served(deployment, machine, *kind);
    }
}

/// Cuts some machines off from all engines, with requests going on, and returns how many
/// requests a cut and another machine served of those sent later than `DETECTION_TIME`.
fn served_while_cut(
    deployment: &Deployment,
    paths: &[Arc<EnginePaths>],
    cut: &[usize],
    state: PathState,
) -> [(usize, usize); 2] {
    let other = (0..paths.len()).find(|machine| !cut.contains(machine));
    for &machine in cut {
        paths[machine].set(state);
    }
    thread::scope(|scope| {
        for machine in 0..paths.len() {
            scope.spawn(move || keep_sending(deployment, machine, DETECTION_TIME));
        }
    });
    let others = other.map(|other| count_served(deployment, other, 6));
    [
        count_served(deployment, cut[0], 6),
        others.unwrap_or_default(),
    ]
}

fn assert_served_alike(state: PathState, served: [(usize, usize); 2]) {
    let [(sent, at_cut), (_, elsewhere)] = served;
    // The rule of the users allows for a third less, and ours for a tenth.
    assert!(
        at_cut * 10 >= elsewhere * 9 && elsewhere * 10 >= sent * 9,
        "{state:?}: {at_cut} of {sent} served behind the cut, {elsewhere} elsewhere"
    );
}

/// Guards against an instance that reaches no engine refusing what its peers could serve.
#[test]
fn an_instance_cut_off_from_all_engines_serves_its_callers() {
    for state in [PathState::Silent, PathState::Reset, PathState::RefusesNew] {
        let (deployment, paths, _gates) = Deployment::start_with_paths(PROGRAM, 3, 3);
        let served = served_while_cut(&deployment, &paths, &[0], state);
        assert_served_alike(state, served);
    }
}

/// Guards against one instance that still reaches the engines being overlooked or
/// excluding them, when all others are cut off.
#[test]
fn the_last_instance_that_reaches_engines_serves_the_callers_of_all() {
    let (deployment, paths, _gates) = Deployment::start_with_paths(PROGRAM, 4, 3);
    let served = served_while_cut(&deployment, &paths, &[1, 2, 3], PathState::Silent);
    assert_served_alike(PathState::Silent, served);
}

/// Guards against requests travelling in circles or waiting when no instance reaches an
/// engine.
#[test]
fn a_fleet_that_reaches_no_engine_refuses_at_once() {
    let (deployment, paths, _gates) = Deployment::start_with_paths(PROGRAM, 3, 3);
    served_while_cut(&deployment, &paths, &[0, 1, 2], PathState::Silent);
    for kind in [RouteKind::Once, RouteKind::Idempotent] {
        let id = Caller::new_request_id();
        let began = Instant::now();
        let reply = deployment.caller(0).plain("GET", kind.path(), &id);
        let took = began.elapsed();
        assert_eq!(reply.status, 503, "{reply:?}");
        assert!(reply.retry_after_s().is_some());
        assert!(took < Duration::from_millis(300), "took {took:?}");
        assert_eq!(deployment.times_run(&id), 0);
    }
}

/// Guards against an instance that passes requests on for long after its path is back.
#[test]
fn an_instance_whose_path_comes_back_uses_it_again() {
    let (deployment, paths, _gates) = Deployment::start_with_paths(PROGRAM, 2, 3);
    let served = served_while_cut(&deployment, &paths, &[0], PathState::Reset);
    assert_served_alike(PathState::Reset, served);
    paths[0].set(PathState::Open);
    thread::sleep(Duration::from_millis(1_500));
    paths[1].set(PathState::Reset);
    let (sent, served) = count_served(&deployment, 0, 4);
    assert!(served * 10 >= sent * 9, "{served} of {sent}");
}

/// Guards against callers that get around their team's rate where instances pass requests
/// on to each other.
#[test]
fn only_instances_may_pass_requests_on() {
    let (deployment, _paths, _gates) = Deployment::start_with_paths(PROGRAM, 2, 2);
    let mut caller = deployment.caller(0);
    caller.address = deployment.machines[0].passing_address();
    let id = Caller::new_request_id();
    let reply = caller.plain("GET", RouteKind::Idempotent.path(), &id);
    assert_eq!(reply.status, 0, "{reply:?}");
    assert_eq!(deployment.times_run(&id), 0);
}

/// Guards against a team paying twice for requests that two instances handle.
#[test]
fn a_request_that_is_passed_on_is_charged_once() {
    let (deployment, paths, _gates) = Deployment::start_with_paths(PROGRAM, 2, 3);
    served_while_cut(&deployment, &paths, &[0], PathState::Reset);
    let served = |machine: usize| {
        let caller = Caller::new(
            deployment.machines[machine].caller_address(),
            "key-of-small",
        );
        let replies = (0..8).map(|_| {
            let id = Caller::new_request_id();
            caller.plain("GET", RouteKind::Idempotent.path(), &id)
        });
        replies.filter(|reply| reply.status == 200).count()
    };
    // The burst holds twenty requests.
    let behind_the_cut = served(0);
    thread::sleep(Duration::from_millis(500));
    assert_eq!((behind_the_cut, served(1)), (8, 8));
}

/// Guards against a stream that hangs for good because its instance is cut off from the
/// engine, though a peer could go on with it.
#[test]
fn an_open_stream_goes_on_through_a_peer() {
    let (deployment, paths, _gates) = Deployment::start_with_paths(PROGRAM, 2, 2);
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults {
            event_interval_ms: 100,
            ..EngineFaults::default()
        });
    }
    let id = Caller::new_request_id();
    let caller = deployment.caller(0);
    let reply = thread::scope(|scope| {
        let stream = scope.spawn(|| caller.stream(RouteKind::Resumable.path(), &id));
        thread::sleep(Duration::from_millis(400));
        paths[0].set(PathState::Silent);
        stream.join().expect("the caller doesn't panic")
    });
    assert!(reply.is_complete_stream(), "{reply:?}");
    assert_eq!(deployment.times_run(&id), 2);
}
