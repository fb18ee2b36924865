//! Parts of prompts that crash the engines that begin to answer them.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{Caller, Deployment, EngineFaults, RouteKind},
    std::{
        sync::atomic::{AtomicBool, AtomicUsize, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

const CRASHING_PART: &str = "bad0bad0";

/// First part of all prompts of a route.
const COMMON_PART: &str = "5c1e07a2:500";

/// Crashed engines from which on a part has to be known.
const CRASHES_TO_KNOW: usize = 5;

/// Requests with a known part that may still reach an engine.
const LATE_REQUESTS: usize = 3;

/// Streams that callers asked for and got whole.
#[derive(Debug, Default)]
struct SoundStreams {
    sent: AtomicUsize,
    complete: AtomicUsize,
}

fn crash_on_part(deployment: &Deployment) {
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults {
            crash_part: Some(CRASHING_PART.to_owned()),
            crash_delay_ms: 80,
            ..EngineFaults::default()
        });
    }
}

fn crashed_engines(deployment: &Deployment) -> usize {
    let engines = deployment.engines.iter();
    engines.filter(|engine| engine.has_crashed()).count()
}

/// Sends a stream whose prompt holds the crashing part, and whose path and other parts no
/// other request has. Returns its status.
fn send_crashing(deployment: &Deployment, machine: usize) -> u16 {
    let id = Caller::new_request_id();
    let parts = format!("{COMMON_PART},{CRASHING_PART}:100,{id}:200");
    let caller = deployment.caller(machine).with_prompt_parts(parts);
    caller.stream(&format!("/reply/{id}"), &id).status
}

/// Sends streams without the crashing part at a machine until told to stop.
fn send_sound(deployment: &Deployment, machine: usize, streams: &SoundStreams, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let id = Caller::new_request_id();
        let parts = format!("{COMMON_PART},50d{machine}:100,{id}:200");
        let caller = deployment.caller(machine).with_prompt_parts(parts);
        let reply = caller.stream(RouteKind::Resumable.path(), &id);
        streams.sent.fetch_add(1, Ordering::Relaxed);
        let complete = usize::from(reply.is_complete_stream());
        streams.complete.fetch_add(complete, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(30));
    }
}

/// Sends requests with the crashing part to all machines in turn, beside sound streams at
/// each. Returns the statuses of the former and the counts of the latter.
fn send_crashing_beside_sound(deployment: &Deployment, count: usize) -> (Vec<u16>, SoundStreams) {
    let (streams, stop) = (SoundStreams::default(), AtomicBool::new(false));
    let machines = deployment.machines.len();
    let statuses = thread::scope(|scope| {
        for machine in 0..machines {
            let (streams, stop) = (&streams, &stop);
            scope.spawn(move || send_sound(deployment, machine, streams, stop));
        }
        let statuses: Vec<u16> = (0..count)
            .map(|number| {
                thread::sleep(Duration::from_millis(50));
                send_crashing(deployment, number % machines)
            })
            .collect();
        stop.store(true, Ordering::Relaxed);
        statuses
    });
    (statuses, streams)
}

/// Guards against a part of a prompt that crashes engine after engine, as no two of its
/// requests are alike.
#[test]
fn requests_with_a_part_that_crashes_engines_are_refused() {
    let deployment = Deployment::start(PROGRAM, 4, 24);
    crash_on_part(&deployment);
    let (statuses, streams) = send_crashing_beside_sound(&deployment, 40);
    let crashed = crashed_engines(&deployment);
    assert!(
        crashed <= CRASHES_TO_KNOW + LATE_REQUESTS,
        "{crashed} engines crashed; {statuses:?}"
    );
    assert_eq!(statuses.last(), Some(&503));
    let (sent, complete) = (streams.sent.into_inner(), streams.complete.into_inner());
    assert!(
        complete + crashed >= sent && sent > 100,
        "{complete} of {sent} sound streams complete"
    );
}

/// Guards against a part that is forgotten when all instances are killed at once.
#[test]
fn a_part_that_crashes_engines_is_known_after_a_start_of_all_instances() {
    let mut deployment = Deployment::start(PROGRAM, 3, 24);
    crash_on_part(&deployment);
    send_crashing_beside_sound(&deployment, 12);
    thread::sleep(Duration::from_secs(2));
    let crashed_before = crashed_engines(&deployment);
    assert!(
        crashed_before <= CRASHES_TO_KNOW + LATE_REQUESTS,
        "{crashed_before} engines crashed before the start"
    );
    for machine in &mut deployment.machines {
        machine.kill();
    }
    for machine in &mut deployment.machines {
        machine.start();
    }
    deployment.wait_until_ready();
    let (statuses, _) = send_crashing_beside_sound(&deployment, 12);
    // Finding the part anew would cost three engines.
    let crashed = crashed_engines(&deployment) - crashed_before;
    assert_eq!(crashed, 0, "{statuses:?}");
}

/// Guards against a part that is held to have crashed engines which vanish at once for
/// another reason.
#[test]
fn engines_that_vanish_at_once_get_no_part_refused() {
    let deployment = Deployment::start(PROGRAM, 4, 12);
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults {
            event_interval_ms: 60,
            ..EngineFaults::default()
        });
    }
    thread::scope(|scope| {
        for number in 0..48 {
            let deployment = &deployment;
            scope.spawn(move || {
                let caller = deployment.caller(number % 4);
                caller.stream(RouteKind::Resumable.path(), &Caller::new_request_id())
            });
        }
        thread::sleep(Duration::from_millis(300));
        for engine in &deployment.engines[..8] {
            engine.stop();
        }
    });
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults::default());
    }
    let began_at = Instant::now();
    for number in 0..40 {
        let caller = deployment.caller(number % 4);
        let reply = caller.stream(RouteKind::Resumable.path(), &Caller::new_request_id());
        assert!(
            reply.is_complete_stream(),
            "request {number}, {:?} after the first: {reply:?}",
            began_at.elapsed()
        );
    }
}
