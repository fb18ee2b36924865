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
