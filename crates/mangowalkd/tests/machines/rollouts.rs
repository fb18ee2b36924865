//! Roll-outs of a service's software: what callers get, and what engines of both
//! versions run.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{
        Caller, Deployment, Engine, EngineFaults, KeepAliveConnection, RouteKind, wait_until,
    },
    nix::sys::signal::Signal,
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread::JoinHandle,
        time::{Duration, Instant},
    },
};

/// Interval between two requests of one caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(12);

/// Share of requests that a bad version may get, and the requests allowed in addition.
const MAX_EXPOSED_RATIO: f64 = 0.1;
const EXPOSURE_SLACK: usize = 50;

/// Time within which a version must not get requests after its fiftieth bad answer.
const ROLLBACK: Duration = Duration::from_millis(5_000);

/// Callers that send plain requests to all machines until they are stopped.
struct Traffic {
    is_stopped: Arc<AtomicBool>,
    statuses: Arc<Mutex<Vec<u16>>>,
    callers: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts two callers of each machine: one of requests that may run again, and one
    /// of others.
    fn start(deployment: &Deployment) -> Traffic {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let statuses: Arc<Mutex<Vec<u16>>> = Arc::default();
        let mut callers = Vec::new();
        for machine in 0..deployment.machines.len() {
            for kind in [RouteKind::Idempotent, RouteKind::Once] {
                let caller = deployment.caller(machine);
                let (is_stopped, statuses) = (is_stopped.clone(), statuses.clone());
                callers.push(std::thread::spawn(move || {
                    let mut connection = KeepAliveConnection::default();
                    while !is_stopped.load(Ordering::Relaxed) {
                        let id = Caller::new_request_id();
                        let reply = caller.send_on(&mut connection, kind.path(), &id);
                        statuses.lock().expect("not poisoned").push(reply.status);
                        std::thread::sleep(REQUEST_INTERVAL);
                    }
                }));
            }
        }
        Traffic {
            is_stopped,
            statuses,
            callers,
        }
    }

    /// Stops the callers and returns the statuses that they got.
    fn stop(self) -> Vec<u16> {
        self.is_stopped.store(true, Ordering::Relaxed);
        for caller in self.callers {
            caller.join().expect("the caller ends");
        }
        let statuses = self.statuses.lock().expect("not poisoned");
        statuses.clone()
    }
}

/// Starts machines that carry out roll-outs.
fn start(machines: usize) -> Deployment {
    let mut deployment = Deployment::prepare(PROGRAM, machines, 1);
    deployment.enable_rollouts();
    for machine in &mut deployment.machines {
        machine.start();
    }
    deployment.wait_until_ready();
    deployment
}

fn runs(engines: &[Engine]) -> usize {
    engines.iter().map(|engine| engine.runs().len()).sum()
}

fn assert_few_exposed(deployment: &Deployment, new: &[Engine], old_runs_before: usize) {
    let exposed = runs(new);
    let all = runs(&deployment.services) - old_runs_before + exposed;
    let allowed = (all as f64 * MAX_EXPOSED_RATIO) as usize + EXPOSURE_SLACK;
    assert!(
        exposed <= allowed,
        "{exposed} of {all} requests, {allowed} allowed"
    );
}

/// A sound version: the service is moved to it in time, the old engines stop the moment
/// this is in the store, and no caller gets a failure at any time.
#[test]
fn a_good_version_takes_over_without_a_failed_request() {
    let mut deployment = start(3);
    let traffic = Traffic::start(&deployment);
    let ordered_at = Instant::now();
    let new = deployment.order_rollout("v2", 2, 8);
    wait_until("the order is begun", || {
        deployment.rollout_state() == "in_progress"
    });
    wait_until("the order is completed", || {
        deployment.rollout_state() == "completed"
    });
    assert!(ordered_at.elapsed() < Duration::from_secs(8));
    // Dropping the old engines stops them at once, with whatever they run.
    let old = std::mem::take(&mut deployment.services);
    for engine in &old {
        deployment.store.remove("servers", engine.id());
    }
    drop(old);
    std::thread::sleep(Duration::from_millis(1_000));
    let statuses = traffic.stop();
    let failed: Vec<&u16> = statuses.iter().filter(|status| **status != 200).collect();
    assert!(failed.is_empty(), "{failed:?} of {}", statuses.len());
    assert!(runs(&new) > 0);
}

/// A version that fails half of its answers gets few requests, is rolled back, and gets
/// nothing afterwards.
#[test]
fn a_failing_version_is_rolled_back() {
    let deployment = start(3);
    let traffic = Traffic::start(&deployment);
    let before = runs(&deployment.services);
    let new = deployment.order_rollout("v2", 2, 8);
    for engine in &new {
        engine.set_faults(EngineFaults {
            error_status: Some(500),
            error_every: 2,
            ..EngineFaults::default()
        });
    }
    wait_until("the order is rolled back", || {
        deployment.rollout_state() == "rolled_back"
    });
    std::thread::sleep(Duration::from_millis(300));
    let exposed = runs(&new);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(runs(&new), exposed);
    assert_few_exposed(&deployment, &new, before);
    traffic.stop();
}

/// A version that is five times slower is as bad as one that fails.
#[test]
fn a_slow_version_is_rolled_back() {
    let deployment = start(3);
    let duration = |plain_duration_ms| EngineFaults {
        plain_duration_ms,
        ..EngineFaults::default()
    };
    for engine in &deployment.services {
        engine.set_faults(duration(10));
    }
    let traffic = Traffic::start(&deployment);
    let before = runs(&deployment.services);
    let new = deployment.order_rollout("v2", 2, 8);
    for engine in &new {
        engine.set_faults(duration(50));
    }
    wait_until("the order is rolled back", || {
        deployment.rollout_state() == "rolled_back"
    });
    assert_few_exposed(&deployment, &new, before);
    traffic.stop();
}

/// The deciders are killed in the middle of a trial of a bad version. Another instance
/// must take over, and the bound on bad answers still holds.
#[test]
fn a_bad_version_is_rolled_back_although_the_deciders_die() {
    let mut deployment = start(5);
    let before = runs(&deployment.services);
    let traffic = Traffic::start(&deployment);
    let new = deployment.order_rollout("v2", 2, 9);
    for engine in &new {
        engine.set_faults(EngineFaults {
            error_status: Some(500),
            error_every: 4,
            ..EngineFaults::default()
        });
    }
    wait_until("the new version is tried", || runs(&new) > 0);
    for machine in deployment.machines.iter().take(2) {
        machine.signal(Signal::SIGKILL);
    }
    wait_until("the order is rolled back", || {
        deployment.rollout_state() == "rolled_back"
    });
    std::thread::sleep(Duration::from_millis(300));
    let exposed = runs(&new);
    std::thread::sleep(Duration::from_millis(1_000));
    assert_eq!(runs(&new), exposed);
    assert_few_exposed(&deployment, &new, before);
    let mut bad: Vec<Instant> = new
        .iter()
        .flat_map(|engine| engine.runs().into_iter().step_by(4))
        .map(|run| run.started_at)
        .collect();
    bad.sort();
    let last = new.iter().flat_map(Engine::runs).map(|run| run.started_at);
    let last = last.max().expect("it was tried");
    assert!(
        bad.get(50)
            .is_none_or(|fiftieth| last < *fiftieth + ROLLBACK)
    );
    traffic.stop();
    deployment.machines.clear();
}

/// An unreadable order, or one with no time, changes nothing: the service goes on with
/// its version, and engines of the named one get nothing.
#[test]
fn an_invalid_order_changes_nothing() {
    let deployment = start(2);
    let before = runs(&deployment.services);
    let new = deployment.order_rollout("v2", 1, 0);
    let caller = deployment.caller(0);
    let until = Instant::now() + Duration::from_millis(2_500);
    let mut sent = 0;
    while Instant::now() < until {
        let id = Caller::new_request_id();
        let reply = caller.plain("GET", RouteKind::Idempotent.path(), &id);
        assert_eq!(reply.status, 200);
        sent += 1;
    }
    assert_eq!(runs(&new), 0);
    assert_eq!(runs(&deployment.services) - before, sent);
    assert_eq!(deployment.rollout_state(), "");
    let log: String = deployment
        .machines
        .iter()
        .map(|machine| machine.log())
        .collect();
    assert!(log.contains("event=rollout_refused"), "{log}");
}
