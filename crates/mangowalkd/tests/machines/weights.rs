//! New weights, ordered at all engines by the holder of the lease.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{
        AcceptedOrder, Caller, Deployment, EngineFaults, RouteKind, StoreFault, wait_until,
    },
    nix::sys::signal::Signal,
    std::time::Duration,
};

/// Minimum time between orders of two different instances: `Bounds.LeaseMs` in the
/// settings of the machines.
const MIN_HOLDER_GAP: Duration = Duration::from_millis(1_000);

fn all_engines_have(deployment: &Deployment, version: u64) -> bool {
    deployment
        .engines
        .iter()
        .all(|engine| engine.version() == version)
}

fn orders(deployment: &Deployment) -> Vec<AcceptedOrder> {
    let mut orders: Vec<AcceptedOrder> = deployment
        .engines
        .iter()
        .flat_map(|engine| engine.orders())
        .collect();
    orders.sort_by_key(|order| order.accepted_at);
    orders
}

fn assert_one_holder_at_a_time(orders: &[AcceptedOrder]) {
    for pair in orders.windows(2) {
        let gap = pair[1].accepted_at - pair[0].accepted_at;
        assert!(
            pair[0].holder == pair[1].holder || gap >= MIN_HOLDER_GAP,
            "{} and {} sent orders within {gap:?}",
            pair[0].holder,
            pair[1].holder,
        );
        assert!(
            pair[0].fence <= pair[1].fence,
            "an order with a lower fencing token after a higher one"
        );
    }
}

#[test]
fn all_engines_get_the_newest_weights_from_one_instance() {
    let deployment = Deployment::start(PROGRAM, 3, 5);
    deployment.publish_weights(2);
    wait_until("all engines have version 2", || {
        all_engines_have(&deployment, 2)
    });
    deployment.publish_weights(3);
    wait_until("all engines have version 3", || {
        all_engines_have(&deployment, 3)
    });
    let orders = orders(&deployment);
    assert_one_holder_at_a_time(&orders);
    assert!(orders.iter().all(|order| order.holder == orders[0].holder));
}

/// Streams run while weights change. Each caller must get a complete stream, on
/// resumable and other routes, and parts of prompts must be cached under a
/// different salt for each version.
#[test]
fn streams_complete_during_a_change_of_weights() {
    let deployment = Deployment::start(PROGRAM, 2, 4);
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults {
            event_interval_ms: 25,
            weights_load_ms: 200,
            ..EngineFaults::default()
        });
    }
    let callers: Vec<_> = (0..24)
        .map(|number| {
            let caller = deployment.caller(number % 2);
            let kind = [RouteKind::Resumable, RouteKind::Stream][number / 2 % 2];
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(60 * number as u64));
                caller.stream(kind.path(), &Caller::new_request_id())
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    deployment.publish_weights(2);
    for caller in callers {
        let reply = caller.join().expect("the caller ends");
        assert!(reply.is_complete_stream(), "{reply:?}");
    }
    wait_until("all engines have version 2", || {
        all_engines_have(&deployment, 2)
    });
    for run in deployment.engines.iter().flat_map(|engine| engine.runs()) {
        let salt = run.salt.unwrap_or_default();
        assert!(
            salt.contains(&run.version.to_string()),
            "{salt} at {}",
            run.version
        );
    }
}

/// The lease holder is killed during a rollout. Another instance must continue it,
/// and not before the lease time has passed since the first one's last order.
#[test]
fn another_instance_continues_when_the_lease_holder_is_killed() {
    let mut deployment = Deployment::start(PROGRAM, 3, 6);
    deployment.publish_weights(2);
    wait_until("an order was accepted", || !orders(&deployment).is_empty());
    let holder = orders(&deployment)[0].holder.clone();
    let mut machines = deployment.machines.iter_mut();
    let lease_holder = machines.find(|machine| machine.name() == holder);
    lease_holder.expect("the holder is a machine").kill();
    wait_until("all engines have version 2", || {
        all_engines_have(&deployment, 2)
    });
    assert_one_holder_at_a_time(&orders(&deployment));
}

/// The lease holder is frozen during a rollout, and another instance continues it.
/// When the first one resumes, its lease has long expired. It must send no order
/// based on its old state.
#[test]
fn a_resumed_instance_with_an_expired_lease_sends_no_order() {
    let deployment = Deployment::start(PROGRAM, 3, 6);
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults {
            weights_load_ms: 150,
            ..EngineFaults::default()
        });
    }
    deployment.publish_weights(2);
    wait_until("an order was accepted", || !orders(&deployment).is_empty());
    let holder = orders(&deployment)[0].holder.clone();
    let mut machines = deployment.machines.iter();
    let lease_holder = machines.find(|machine| machine.name() == holder);
    let lease_holder = lease_holder.expect("the holder is a machine");
    lease_holder.signal(Signal::SIGSTOP);
    wait_until("all engines have version 2", || {
        all_engines_have(&deployment, 2)
    });
    deployment.publish_weights(3);
    std::thread::sleep(Duration::from_millis(100));
    lease_holder.signal(Signal::SIGCONT);
    wait_until("all engines have version 3", || {
        all_engines_have(&deployment, 3)
    });
    assert_one_holder_at_a_time(&orders(&deployment));
}

/// Engines execute orders and their responses are lost. Each engine must get the
/// newest weights, and none may load the same version twice.
#[test]
fn an_order_whose_response_is_lost_is_executed_once() {
    let deployment = Deployment::start(PROGRAM, 2, 3);
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults {
            drops_order_responses: true,
            ..EngineFaults::default()
        });
    }
    deployment.publish_weights(2);
    wait_until("all engines have version 2", || {
        all_engines_have(&deployment, 2)
    });
    std::thread::sleep(Duration::from_millis(1_500));
    for engine in &deployment.engines {
        assert_eq!(engine.orders().len(), 1, "{}", engine.id());
    }
}

/// The store applies renewals of the lease and drops its responses. No two instances
/// may send orders within the lease time of each other, and the rollout must complete
/// after the store recovers.
#[test]
fn lost_renewal_responses_cause_no_second_lease_holder() {
    let deployment = Deployment::start(PROGRAM, 3, 4);
    deployment.publish_weights(2);
    wait_until("an order was accepted", || !orders(&deployment).is_empty());
    deployment.store.set_fault(StoreFault::DropResponses);
    std::thread::sleep(Duration::from_millis(1_500));
    deployment.store.set_fault(StoreFault::None);
    wait_until("all engines have version 2", || {
        all_engines_have(&deployment, 2)
    });
    assert_one_holder_at_a_time(&orders(&deployment));
}

/// Duration of a load in the tests with long loads. With `VersionMs` of 20,000 loads are
/// planned as long ones from the start.
const LONG_LOAD_MS: u64 = 1_500;

fn start_with_long_loads(machines: usize, engines: usize) -> Deployment {
    let mut deployment = Deployment::prepare(PROGRAM, machines, engines);
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults {
            weights_load_ms: LONG_LOAD_MS,
            ..EngineFaults::default()
        });
    }
    for machine in &mut deployment.machines {
        machine.change_settings(|text| text.replace("VersionMs=8000", "VersionMs=20000"));
        machine.arguments.push("--rolling-weights".to_owned());
        machine.start();
    }
    deployment.wait_until_ready();
    deployment
}

/// Guards against loads of weights that are replaced already. Version 3 is published
/// while engines load version 2: no engine may begin to load 2 from then on, and those
/// that loaded it must load 3 as well. An operator finds the progress in the log.
#[test]
fn a_closely_followed_version_is_skipped_with_long_loads() {
    let deployment = start_with_long_loads(2, 6);
    deployment.publish_weights(2);
    wait_until("an order was accepted", || !orders(&deployment).is_empty());
    deployment.publish_weights(3);
    std::thread::sleep(Duration::from_millis(500));
    let skipped_from = std::time::Instant::now();
    wait_until("all engines have version 3", || {
        all_engines_have(&deployment, 3)
    });
    let orders = orders(&deployment);
    assert_one_holder_at_a_time(&orders);
    let late = orders
        .iter()
        .filter(|order| order.version == 2 && order.accepted_at > skipped_from);
    assert_eq!(late.count(), 0, "{orders:?}");
    let logs: Vec<String> = deployment
        .machines
        .iter()
        .map(|machine| machine.log())
        .collect();
    let tells_progress =
        |line: &str| line.contains("event=weights_change ") && line.contains("long_loads=true");
    assert!(logs.iter().flat_map(|log| log.lines()).any(tells_progress));
}

/// Guards against interrupted requests: engines are paused and resumed by the known work
/// while streams run on resumable and other routes. Each caller must get a complete stream.
#[test]
fn streams_complete_during_a_change_with_long_loads() {
    let deployment = start_with_long_loads(2, 6);
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults {
            event_interval_ms: 25,
            weights_load_ms: LONG_LOAD_MS,
            ..EngineFaults::default()
        });
    }
    let callers: Vec<_> = (0..48)
        .map(|number| {
            let caller = deployment.caller(number % 2);
            let kind = [RouteKind::Resumable, RouteKind::Stream][number / 2 % 2];
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(100 * number as u64));
                caller.stream(kind.path(), &Caller::new_request_id())
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    deployment.publish_weights(2);
    for caller in callers {
        let reply = caller.join().expect("the caller ends");
        assert!(reply.is_complete_stream(), "{reply:?}");
    }
    wait_until("all engines have version 2", || {
        all_engines_have(&deployment, 2)
    });
}

/// Guards against engines that stay without new work, or without new weights, when the
/// lease holder is killed while engines load and others wait for a place. The machines
/// left must serve during the exclusion time, and another one must finish the change.
#[test]
fn another_instance_finishes_a_change_with_long_loads() {
    let mut deployment = start_with_long_loads(3, 6);
    deployment.publish_weights(2);
    wait_until("an order was accepted", || !orders(&deployment).is_empty());
    std::thread::sleep(Duration::from_millis(LONG_LOAD_MS + 500));
    let holder = orders(&deployment)[0].holder.clone();
    let is_holder = |machine: &mangowalk_platform_standins::Machine| machine.name() == holder;
    let index = deployment.machines.iter().position(is_holder);
    let index = index.expect("the holder is a machine");
    deployment.machines[index].kill();
    let caller = deployment.caller((index + 1) % 3);
    let reply = caller.stream(RouteKind::Resumable.path(), &Caller::new_request_id());
    assert!(reply.is_complete_stream(), "{reply:?}");
    wait_until("all engines have version 2", || {
        all_engines_have(&deployment, 2)
    });
    assert_one_holder_at_a_time(&orders(&deployment));
}

/// `Bounds.LeaseMs` in the tests of takers that stop while they wait.
const LONG_LEASE: Duration = Duration::from_millis(3_000);

/// How a machine ends that has taken the lease and still waits for the exclusion time of
/// the holder before it.
#[derive(Debug, Clone, Copy)]
enum TakerEnd {
    Stopped,
    Killed,
    KilledAndRestarted,
}

fn start_with_long_lease(machines: usize) -> Deployment {
    let mut deployment = Deployment::prepare(PROGRAM, machines, 1);
    for machine in &mut deployment.machines {
        machine.change_settings(|text| text.replace("LeaseMs=1000", "LeaseMs=3000"));
        machine.start();
    }
    deployment.wait_until_ready();
    // From then on a report that an instance has sent no order since its start says nothing
    // of orders within the lease time.
    std::thread::sleep(LONG_LEASE);
    deployment
}

fn lease_holder(deployment: &Deployment) -> Option<usize> {
    let record = deployment.store.read("leases", "orders")?;
    let mut machines = deployment.machines.iter();
    machines.position(|machine| record["holder"] == machine.name())
}

/// Ends the lease holder after its order, publishes new weights, and ends each of `takers`
/// instances that take the lease before the first one's order is old enough. Returns the
/// orders once the engine has the new weights.
fn orders_after_takers_end(takers: usize, end: TakerEnd) -> Vec<AcceptedOrder> {
    let mut deployment = start_with_long_lease(takers + 3);
    deployment.publish_weights(2);
    wait_until("the engine has version 2", || {
        all_engines_have(&deployment, 2)
    });
    let first = lease_holder(&deployment).expect("a holder ordered");
    deployment.machines[first].signal(Signal::SIGTERM);
    deployment.publish_weights(3);
    let mut holder = first;
    for _ in 0..takers {
        wait_until("another instance takes the lease", || {
            lease_holder(&deployment).is_some_and(|taker| taker != holder)
        });
        holder = lease_holder(&deployment).expect("an instance took it");
        let machine = &mut deployment.machines[holder];
        match end {
            TakerEnd::Stopped => machine.signal(Signal::SIGTERM),
            TakerEnd::Killed => machine.kill(),
            TakerEnd::KilledAndRestarted => {
                machine.kill();
                machine.start();
            }
        }
    }
    wait_until("the engine has version 3", || {
        all_engines_have(&deployment, 3)
    });
    orders(&deployment)
}

fn assert_takers_wait(takers: usize, end: TakerEnd) {
    let orders = orders_after_takers_end(takers, end);
    for pair in orders.windows(2) {
        let gap = pair[1].accepted_at - pair[0].accepted_at;
        assert!(
            pair[0].holder == pair[1].holder || gap >= LONG_LEASE,
            "{end:?}: {} and {} sent orders within {gap:?}",
            pair[0].holder,
            pair[1].holder,
        );
        assert!(pair[0].fence < pair[1].fence, "{orders:?}");
    }
}

/// Guards against two instances that order the same engine in turns: one that takes the
/// lease is stopped while it waits, and the next one must wait for the orders of the first.
#[test]
fn the_exclusion_time_outlasts_a_stopped_taker() {
    assert_takers_wait(1, TakerEnd::Stopped);
}

/// Guards against an exclusion time that is lost, or that starts anew, in a chain of takers.
#[test]
fn the_exclusion_time_outlasts_a_chain_of_stopped_takers() {
    assert_takers_wait(2, TakerEnd::Stopped);
}

/// Guards against an exclusion time that ends with the process that waited for it.
#[test]
fn the_exclusion_time_outlasts_a_killed_taker() {
    assert_takers_wait(1, TakerEnd::Killed);
}

/// Guards against an exclusion time that ends because the taker has restarted since.
#[test]
fn the_exclusion_time_outlasts_a_taker_that_restarts() {
    assert_takers_wait(1, TakerEnd::KilledAndRestarted);
}
