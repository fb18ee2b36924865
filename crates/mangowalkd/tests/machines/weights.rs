//! New weights, brought to all engines by one instance.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{
        Caller, Deployment, EngineFaults, Ordered, RouteKind, StoreFault, wait,
    },
    nix::sys::signal::Signal,
    std::time::Duration,
};

/// Time for which two instances may not both have given orders, as the
/// settings of the stand-ins' machines say.
const APART: Duration = Duration::from_millis(1_000);

fn all_at(deployment: &Deployment, version: u64) -> bool {
    deployment
        .engines
        .iter()
        .all(|engine| engine.version() == version)
}

fn orders(deployment: &Deployment) -> Vec<Ordered> {
    let mut orders: Vec<Ordered> = deployment
        .engines
        .iter()
        .flat_map(|engine| engine.orders())
        .collect();
    orders.sort_by_key(|order| order.at);
    orders
}

fn assert_holders_apart(orders: &[Ordered]) {
    for pair in orders.windows(2) {
        let apart = pair[1].at - pair[0].at;
        assert!(
            pair[0].holder == pair[1].holder || apart >= APART,
            "{} and {} gave orders within {apart:?}",
            pair[0].holder,
            pair[1].holder,
        );
        assert!(
            pair[0].fence <= pair[1].fence,
            "a lower number after a higher one"
        );
    }
}

#[test]
fn all_engines_get_the_newest_weights_from_one_instance() {
    let deployment = Deployment::start(PROGRAM, 3, 5);
    deployment.name_weights(2);
    wait("all engines have version 2", || all_at(&deployment, 2));
    deployment.name_weights(3);
    wait("all engines have version 3", || all_at(&deployment, 3));
    let orders = orders(&deployment);
    assert_holders_apart(&orders);
    assert!(orders.iter().all(|order| order.holder == orders[0].holder));
}

/// Streams run while weights change. Each caller gets its whole stream, those
/// that may go on elsewhere as well as those that may not, and parts are kept
/// under a text of their own for each version.
#[test]
fn streams_survive_a_change_of_weights() {
    let deployment = Deployment::start(PROGRAM, 2, 4);
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults {
            event_ms: 25,
            load_ms: 200,
            ..EngineFaults::default()
        });
    }
    let callers: Vec<_> = (0..24)
        .map(|number| {
            let caller = deployment.caller(number % 2);
            let kind = [RouteKind::Resumable, RouteKind::Stream][number / 2 % 2];
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(60 * number as u64));
                caller.stream(kind.path(), &Caller::fresh_id())
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    deployment.name_weights(2);
    for caller in callers {
        let reply = caller.join().expect("the caller ends");
        assert!(reply.is_whole_stream(), "{reply:?}");
    }
    wait("all engines have version 2", || all_at(&deployment, 2));
    for run in deployment.engines.iter().flat_map(|engine| engine.runs()) {
        let salt = run.salt.unwrap_or_default();
        assert!(
            salt.contains(&run.version.to_string()),
            "{salt} at {}",
            run.version
        );
    }
}

/// The instance that orders is killed in the middle. Another goes on, and not
/// before the first one's last order is old enough.
#[test]
fn another_instance_goes_on_when_the_orderer_is_killed() {
    let mut deployment = Deployment::start(PROGRAM, 3, 6);
    deployment.name_weights(2);
    wait("an order was given", || !orders(&deployment).is_empty());
    let holder = orders(&deployment)[0].holder.clone();
    let mut machines = deployment.machines.iter_mut();
    let orderer = machines.find(|machine| machine.name() == holder);
    orderer.expect("the holder is a machine").kill();
    wait("all engines have version 2", || all_at(&deployment, 2));
    assert_holders_apart(&orders(&deployment));
}

/// The instance that orders is frozen in the middle, another goes on, and the
/// first one wakes up with its lease long over. It must give no order on what
/// it believed before.
#[test]
fn a_frozen_orderer_gives_no_order_when_it_wakes() {
    let deployment = Deployment::start(PROGRAM, 3, 6);
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults {
            load_ms: 150,
            ..EngineFaults::default()
        });
    }
    deployment.name_weights(2);
    wait("an order was given", || !orders(&deployment).is_empty());
    let holder = orders(&deployment)[0].holder.clone();
    let mut machines = deployment.machines.iter();
    let orderer = machines.find(|machine| machine.name() == holder);
    let orderer = orderer.expect("the holder is a machine");
    orderer.signal(Signal::SIGSTOP);
    wait("all engines have version 2", || all_at(&deployment, 2));
    deployment.name_weights(3);
    std::thread::sleep(Duration::from_millis(100));
    orderer.signal(Signal::SIGCONT);
    wait("all engines have version 3", || all_at(&deployment, 3));
    assert_holders_apart(&orders(&deployment));
}

/// Engines carry orders out and their answers are lost. Each engine still
/// gets the newest weights, and none loads the same twice.
#[test]
fn an_order_whose_answer_is_lost_is_not_carried_out_twice() {
    let deployment = Deployment::start(PROGRAM, 2, 3);
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults {
            loses_order_answers: true,
            ..EngineFaults::default()
        });
    }
    deployment.name_weights(2);
    wait("all engines have version 2", || all_at(&deployment, 2));
    std::thread::sleep(Duration::from_millis(1_500));
    for engine in &deployment.engines {
        assert_eq!(engine.orders().len(), 1, "{}", engine.id());
    }
}

/// The store carries renewals out and gives no answers. No two instances may
/// give orders side by side, and once it answers again the weights arrive.
#[test]
fn renewals_whose_answers_are_lost_make_no_second_orderer() {
    let deployment = Deployment::start(PROGRAM, 3, 4);
    deployment.name_weights(2);
    wait("an order was given", || !orders(&deployment).is_empty());
    deployment.store.set_fault(StoreFault::LoseAnswers);
    std::thread::sleep(Duration::from_millis(1_500));
    deployment.store.set_fault(StoreFault::None);
    wait("all engines have version 2", || all_at(&deployment, 2));
    assert_holders_apart(&orders(&deployment));
}
