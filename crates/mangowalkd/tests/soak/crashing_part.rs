//! A part of prompts that crashes the engines which begin to answer it.

use {
    super::{check::is_undisturbed, faults::Faults},
    mangowalk_platform_standins::{Caller, EngineFaults, KEY},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

const CRASHING_PART: &str = "bad0bad0";

/// Crashes after which the part has to be known, the time for that, and how many requests
/// with it may still reach engines later.
const CRASHES_TO_KNOW: usize = 5;
const TIME_TO_KNOW: Duration = Duration::from_millis(3_000);
const LATE_REQUESTS: usize = 3;

/// A request with the crashing part.
#[derive(Debug)]
pub(crate) struct CrashingRequest {
    id: String,
    machine: usize,
    sent: Instant,
}

/// Returns whether engines crash on a part in a seed.
pub(crate) fn has_crashing_part(seed: u64) -> bool {
    seed % 3 == 2
}

/// Returns an engine's faults with the crash on the part.
pub(crate) fn with_crashing_part(faults: EngineFaults) -> EngineFaults {
    EngineFaults {
        crash_part: Some(CRASHING_PART.to_owned()),
        crash_delay_ms: 60,
        ..faults
    }
}

/// Sends requests with the part, no two alike, to random machines until `stop` is set, and
/// returns them. Sends none if no engine crashes on it.
pub(crate) fn send_crashing_requests(
    seed: u64,
    machines: &[SocketAddr],
    stop: &AtomicBool,
) -> Vec<CrashingRequest> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    while has_crashing_part(seed) && !stop.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(random.random_range(50..600)));
        let machine = random.random_range(0..machines.len());
        let id = Caller::new_request_id();
        let parts = format!("5c1e07a2:500,{CRASHING_PART}:300,{id}:200");
        let caller = Caller::new(machines[machine], KEY).with_prompt_parts(parts);
        let sent = Instant::now();
        caller.stream(&format!("/reply/{id}"), &id);
        requests.push(CrashingRequest { id, machine, sent });
    }
    requests
}

/// Returns a message if requests with the part reached engines after it had to be known,
/// from machines that weren't disturbed.
pub(crate) fn check_crashing_part(faults: &Faults, requests: &[CrashingRequest]) -> Option<String> {
    let known_from = *faults.crashes.get(CRASHES_TO_KNOW - 1)? + TIME_TO_KNOW;
    let arrivals = faults.deployment.engines.iter();
    let arrived: HashSet<String> = arrivals
        .flat_map(|engine| engine.arrivals())
        .map(|arrival| arrival.request_id)
        .collect();
    let late = requests.iter().filter(|request| {
        request.sent > known_from
            && arrived.contains(&request.id)
            && is_undisturbed(faults, request.machine, request.sent, request.sent)
    });
    let late = late.count();
    (late > LATE_REQUESTS).then(|| {
        let crashes = faults.crashes.len();
        format!("{late} requests with a part that crashes engines came late; {crashes} crashed")
    })
}
