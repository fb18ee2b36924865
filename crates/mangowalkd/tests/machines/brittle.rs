//! Engines that fall over when they have to reject too much.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{Caller, Deployment, EngineFaults, RouteKind},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

const CALLERS_PER_MACHINE: usize = 24;

/// Sends plain requests to a machine, one after the other, and returns how many were
/// served and refused. A refused caller comes back soon.
fn send_for(deployment: &Deployment, machine: usize, within: Duration) -> (usize, usize) {
    let until = Instant::now() + within;
    let caller = deployment.caller(machine);
    let (mut served, mut refused) = (0, 0);
    while Instant::now() < until {
        let id = Caller::new_request_id();
        let reply = caller.plain("POST", RouteKind::Once.path(), &id);
        served += usize::from(reply.status == 200);
        if reply.status == 503 {
            refused += 1;
            thread::sleep(Duration::from_millis(20));
        }
    }
    (served, refused)
}

/// Guards against instances that together make brittle engines fall over.
#[test]
fn brittle_engines_stand_under_overload() {
    let deployment = Deployment::start(PROGRAM, 3, 1);
    for service in &deployment.services {
        service.set_faults(EngineFaults {
            plain_duration_ms: 100,
            max_running: Some(16),
            brittle_rejections_per_s: Some(6),
            ..EngineFaults::default()
        });
    }
    // The first answers tell each instance.
    for machine in 0..3 {
        send_for(&deployment, machine, Duration::from_millis(300));
    }
    let counts: Vec<(usize, usize)> = thread::scope(|scope| {
        let callers: Vec<_> = (0..3 * CALLERS_PER_MACHINE)
            .map(|caller| {
                let deployment = &deployment;
                scope.spawn(move || send_for(deployment, caller % 3, Duration::from_secs(3)))
            })
            .collect();
        let ended = callers.into_iter().map(|caller| caller.join());
        ended
            .map(|counts| counts.expect("a caller doesn't panic"))
            .collect()
    });
    let served: usize = counts.iter().map(|(served, _)| served).sum();
    let refused: usize = counts.iter().map(|(_, refused)| refused).sum();
    let fallen = deployment
        .services
        .iter()
        .filter(|engine| engine.has_crashed());
    assert_eq!(fallen.count(), 0, "{served} served, {refused} refused");
    // Two engines of 16 slots and 100 ms can serve 960 in that time.
    assert!(
        served >= 480 && refused > 0,
        "{served} served, {refused} refused"
    );
}
