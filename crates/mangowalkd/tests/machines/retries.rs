//! Retries of all instances together, as the engines count them.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{
        Arrival, Caller, Deployment, Engine, EngineFaults, PathState, RouteKind,
    },
    std::{
        collections::HashSet,
        thread,
        time::{Duration, Instant},
    },
};

/// Bounds in the machines' settings files.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 50.0;
const RETRY_WINDOW: Duration = Duration::from_secs(10);

fn rejecting() -> EngineFaults {
    EngineFaults {
        refuses_as_not_run: true,
        ..EngineFaults::default()
    }
}

/// Sends requests to a machine, one after the other, and returns when each was sent.
fn send(deployment: &Deployment, machine: usize, requests: usize) -> Vec<Instant> {
    let caller = deployment.caller(machine);
    let send = |_| {
        let sent_at = Instant::now();
        let id = Caller::new_request_id();
        caller.plain("GET", RouteKind::Idempotent.path(), &id);
        sent_at
    };
    (0..requests).map(send).collect()
}

/// Sends requests to all machines at once and returns when each was sent.
fn send_to_all(deployment: &Deployment, requests_each: usize) -> Vec<Instant> {
    thread::scope(|scope| {
        let callers: Vec<_> = (0..deployment.machines.len())
            .map(|machine| scope.spawn(move || send(deployment, machine, requests_each)))
            .collect();
        let sent = callers.into_iter().map(|caller| caller.join());
        sent.flat_map(|sent| sent.expect("a caller doesn't panic"))
            .collect()
    })
}

fn restart_all(deployment: &mut Deployment) {
    for machine in &mut deployment.machines {
        machine.kill();
    }
    for machine in &mut deployment.machines {
        machine.start();
    }
    deployment.wait_until_ready();
}

/// Returns when requests arrived that had arrived at an engine before, in order.
fn repeated_at(engines: &[Engine]) -> Vec<Instant> {
    let mut arrivals: Vec<Arrival> = engines.iter().flat_map(Engine::arrivals).collect();
    arrivals.sort_by_key(|arrival| arrival.arrived_at);
    let mut seen = HashSet::new();
    arrivals.retain(|arrival| !seen.insert(arrival.request_id.clone()));
    arrivals.iter().map(|arrival| arrival.arrived_at).collect()
}

/// Asserts that no window holds more repeated arrivals than its requests allow; counted
/// are those of the window itself or of the one before, whichever are more.
fn assert_within_budget(engines: &[Engine], sent_at: &[Instant]) {
    let repeated_at = repeated_at(engines);
    let count = |times: &[Instant], from: Instant, to: Instant| {
        times.iter().filter(|at| (from..to).contains(at)).count()
    };
    for &from in &repeated_at {
        let to = from + RETRY_WINDOW;
        let repeats = count(&repeated_at, from, to);
        let before = from.checked_sub(RETRY_WINDOW).unwrap_or(from);
        let requests = count(sent_at, from, to).max(count(sent_at, before, from));
        let allowed = RETRY_RATIO * requests as f64 + RETRY_SLACK;
        assert!(
            repeats as f64 <= allowed,
            "{repeats} repeats for {requests} requests, {allowed} allowed"
        );
    }
}

/// Guards against each start of the instances renewing what they may send again.
#[test]
fn restarts_of_all_instances_keep_retries_within_the_budget() {
    let mut deployment = Deployment::start(PROGRAM, 3, 1);
    for service in &deployment.services {
        service.set_faults(rejecting());
    }
    let mut sent_at = send_to_all(&deployment, 25);
    for _ in 0..4 {
        restart_all(&mut deployment);
        sent_at.extend(send_to_all(&deployment, 25));
    }
    assert_within_budget(&deployment.services, &sent_at);
}

/// Guards against requests that engines have rejected being passed on to further peers at
/// no charge.
#[test]
fn requests_that_are_passed_on_keep_retries_within_the_budget() {
    let (deployment, paths, _gates) = Deployment::start_with_paths(PROGRAM, 4, 1);
    paths[0].set(PathState::Reset);
    let mut sent_at = send(&deployment, 0, 20);
    for service in &deployment.services {
        service.set_faults(rejecting());
    }
    sent_at.extend(send(&deployment, 0, 150));
    assert_within_budget(&deployment.services, &sent_at);
}

/// Guards against an instance that refuses retries which its peers have left.
#[test]
fn an_instance_borrows_retries_that_its_peers_do_not_use() {
    let mut deployment = Deployment::prepare(PROGRAM, 3, 1);
    for machine in &mut deployment.machines {
        machine.change_settings(|text| text.replace("RetryBudget=0.2", "RetryBudget=0"));
        machine.start();
    }
    deployment.wait_until_ready();
    for service in &deployment.services {
        service.set_faults(rejecting());
    }
    let mut sent_at = Vec::new();
    // An engine that has rejected a request is spared for a moment.
    for _ in 0..40 {
        sent_at.extend(send(&deployment, 0, 3));
        thread::sleep(Duration::from_millis(160));
    }
    let repeats = repeated_at(&deployment.services).len();
    // Its own part, a third of the usable slack, is 13.
    assert!(repeats >= 20, "{repeats} repeats");
    assert_within_budget(&deployment.services, &sent_at);
}

/// Returns how many requests all instances have counted for the retries they earn.
fn counted_requests(deployment: &Deployment) -> usize {
    let counted = deployment.machines.iter().map(|machine| {
        let metrics = Caller::get(machine.metrics_address(), "/metrics").body;
        let name = "mangowalk_retry_requests_total{reason=\"counted\"} ";
        let value = metrics.lines().find_map(|line| line.strip_prefix(name));
        value.map_or(0, |value| value.parse().expect("it is a number"))
    });
    counted.sum()
}

/// Guards against a request that earns retries at each instance that handles it.
#[test]
fn a_request_that_is_passed_on_earns_retries_once() {
    let (deployment, paths, _gates) = Deployment::start_with_paths(PROGRAM, 4, 1);
    paths[0].set(PathState::Reset);
    let mut sent_at = send(&deployment, 0, 20);
    for service in &deployment.services {
        service.set_faults(rejecting());
    }
    sent_at.extend(send(&deployment, 0, 40));
    assert_eq!(counted_requests(&deployment), sent_at.len());
}
