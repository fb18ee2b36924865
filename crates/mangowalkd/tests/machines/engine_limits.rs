//! Engines that name a limit on the requests of all instances together.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{Caller, Deployment, Engine, EngineFaults, RouteKind},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after which all instances have to keep to a limit.
const SETTLING_TIME: Duration = Duration::from_secs(3);

fn name_limit(engine: &Engine, limit_per_s: Option<&str>) {
    engine.set_faults(EngineFaults {
        limit_per_s: limit_per_s.map(str::to_owned),
        ..EngineFaults::default()
    });
}

/// Sends plain requests to all machines for a time, and returns how many were sent and
/// served.
fn send_to_all(deployment: &Deployment, within: Duration) -> (usize, usize) {
    let until = Instant::now() + within;
    let send = |machine: usize| {
        let caller = deployment.caller(machine);
        let (mut sent, mut served) = (0, 0);
        while Instant::now() < until {
            let id = Caller::new_request_id();
            let reply = caller.plain("GET", RouteKind::Idempotent.path(), &id);
            sent += 1;
            served += usize::from(reply.status == 200);
            thread::sleep(Duration::from_millis(20));
        }
        (sent, served)
    };
    thread::scope(|scope| {
        let callers: Vec<_> = (0..deployment.machines.len())
            .map(|machine| scope.spawn(move || send(machine)))
            .collect();
        let ended = callers.into_iter().map(|caller| caller.join());
        ended
            .map(|counts| counts.expect("a caller doesn't panic"))
            .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    })
}

/// Returns the most requests that arrived at an engine in any window after a moment.
fn most_arrivals(engine: &Engine, after: Instant) -> usize {
    let arrivals = engine.arrivals();
    let times: Vec<Instant> = arrivals
        .iter()
        .map(|arrival| arrival.arrived_at)
        .filter(|at| *at >= after)
        .collect();
    let within = |from: Instant| {
        times
            .iter()
            .filter(move |at| (from..from + WINDOW).contains(at))
    };
    times
        .iter()
        .map(|from| within(*from).count())
        .max()
        .unwrap_or(0)
}

fn allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Guards against instances that each keep to an engine's limit, or to none, and pass it
/// together; the requests have to go to the other engine instead of being refused.
#[test]
fn instances_together_keep_to_the_limit_of_an_engine() {
    let deployment = Deployment::start(PROGRAM, 4, 1);
    let limited = &deployment.services[0];
    name_limit(limited, Some("1.3"));
    let named_at = Instant::now();
    let (sent, served) = send_to_all(&deployment, SETTLING_TIME + 2 * WINDOW);
    let most = most_arrivals(limited, named_at + SETTLING_TIME);
    assert!(
        most <= allowed(1.3),
        "{most} arrivals, {} allowed",
        allowed(1.3)
    );
    assert!(most >= 2, "{most} arrivals: the limit isn't used");
    assert!(served * 100 >= sent * 99, "{served} of {sent} served");
}

/// Guards against a limit that is kept after the engine has withdrawn it.
#[test]
fn an_engine_that_withdraws_its_limit_is_used_again() {
    let deployment = Deployment::start(PROGRAM, 3, 1);
    let limited = &deployment.services[0];
    // One of the instances sends to it; the others have to hear of its end from that one.
    name_limit(limited, Some("0.5"));
    send_to_all(&deployment, Duration::from_millis(500));
    name_limit(limited, None);
    send_to_all(&deployment, 2 * SETTLING_TIME);
    let before = limited.arrivals().len();
    let (sent, _) = send_to_all(&deployment, Duration::from_secs(2));
    let arrivals = limited.arrivals().len() - before;
    // Two engines share what is sent.
    assert!(arrivals * 5 >= sent, "{arrivals} arrivals of {sent}");
}

/// Sends plain requests to one machine, one after the other. Returns how many were sent.
fn send_to_one(deployment: &Deployment, machine: usize, within: Duration) -> usize {
    let until = Instant::now() + within;
    let caller = deployment.caller(machine);
    let mut sent = 0;
    while Instant::now() < until {
        let id = Caller::new_request_id();
        caller.plain("GET", RouteKind::Idempotent.path(), &id);
        sent += 1;
        thread::sleep(Duration::from_millis(20));
    }
    sent
}

/// Guards against the end of a limit that nobody hears of, as the instance that may send to
/// the engine prefers one in its own failure domain.
#[test]
fn the_end_of_a_limit_is_heard_of_in_the_domain_of_its_engine() {
    let deployment = Deployment::start(PROGRAM, 3, 1);
    for (machine, limited) in deployment.services.iter().enumerate() {
        name_limit(limited, Some("0.5"));
        send_to_one(&deployment, machine, Duration::from_millis(500));
        name_limit(limited, None);
        send_to_one(&deployment, machine, 2 * SETTLING_TIME);
        let before = limited.arrivals().len();
        let sent = send_to_one(&deployment, machine, Duration::from_secs(2));
        let arrivals = limited.arrivals().len() - before;
        let id = limited.id();
        assert!(arrivals * 5 >= sent, "{id}: {arrivals} arrivals of {sent}");
    }
}

/// Guards against instances that start together and all take the first requests of an
/// engine with a limit.
#[test]
fn a_limit_holds_after_a_start_of_all_instances() {
    let mut deployment = Deployment::start(PROGRAM, 4, 1);
    name_limit(&deployment.services[0], Some("1"));
    send_to_all(&deployment, Duration::from_secs(1));
    for machine in &mut deployment.machines {
        machine.kill();
    }
    for machine in &mut deployment.machines {
        machine.start();
    }
    deployment.wait_until_ready();
    let started_at = Instant::now();
    let (sent, served) = send_to_all(&deployment, SETTLING_TIME + WINDOW);
    let limited = &deployment.services[0];
    let most = most_arrivals(limited, started_at + SETTLING_TIME);
    assert!(most <= allowed(1.0), "{most} arrivals");
    assert!(served * 100 >= sent * 99, "{served} of {sent} served");
}

/// Guards against values of a limit that no engine should name, and that stop an instance
/// or starve a service.
#[test]
fn odd_limits_stop_no_instance() {
    let deployment = Deployment::start(PROGRAM, 2, 1);
    for limit in ["-1", "nan", "inf", "1e9", "1e400", "", "two", "1,2"] {
        for service in &deployment.services {
            name_limit(service, Some(limit));
        }
        let (sent, served) = send_to_all(&deployment, Duration::from_millis(300));
        assert_eq!(served, sent, "a limit of {limit:?}");
    }
}
