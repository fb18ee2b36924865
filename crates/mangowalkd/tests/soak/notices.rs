//! Engines that ask for rest or say that they leave, and what they may get afterwards.

use {
    super::{
        faults::{Faults, Span},
        schedule::{Fault, ScheduledFault},
        traffic::SentRequest,
    },
    mangowalk_platform_standins::{
        DRAIN_TIME, Engine, MAX_WITHIN_REST, first_told_leaving, most_within_rest,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Bounds of the pauses between these faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 500..3_000;

/// Makes this schedule of a seed differ from the others.
const SEED: u64 = 0x2e57;

/// Time after a cut for which an instance may still pass requests on to peers.
const PASSING_ENDS: Duration = Duration::from_millis(1_500);

/// Returns faults in which engines say something of themselves; one seed of four has none.
pub(crate) fn notice_schedule(seed: u64, faults_ms: u64) -> Vec<ScheduledFault> {
    let mut random = SmallRng::seed_from_u64(seed ^ SEED);
    let mut scheduled = Vec::new();
    let mut at_ms = random.random_range(PAUSE_MS);
    while seed % 4 != 3 && at_ms < faults_ms {
        let is_model = random.random_bool(0.5);
        let for_ms = random.random_range(300..4_000);
        let fault = match random.random_range(0..4) {
            0 | 1 => Fault::AskRest {
                is_model,
                tenths_s: random.random_range(5..50),
                for_ms,
            },
            2 => Fault::AllAskRest {
                is_model,
                tenths_s: random.random_range(5..20),
                for_ms,
            },
            _ => Fault::SayLeaving { is_model, for_ms },
        };
        scheduled.push(ScheduledFault { at_ms, fault });
        at_ms += random.random_range(PAUSE_MS);
    }
    scheduled
}

fn is_within(span: &Span, from: Instant, to: Instant, after: Duration) -> bool {
    span.from <= to && span.to + after >= from
}

/// Returns a message if an engine got more from a machine within a rest than it tolerates.
fn check_rest(
    faults: &Faults,
    engine: &Engine,
    machine: usize,
    sent: &HashMap<&str, &SentRequest>,
) -> Option<String> {
    let is_sent = |id: &str| sent.get(id).is_some_and(|one| one.machine == machine);
    let is_excused = |asked_at: Instant, at: Instant| {
        let mut spans = faults.stopped[machine].iter().chain(&faults.cut[machine]);
        spans.any(|span| is_within(span, asked_at, at, PASSING_ENDS))
    };
    let most = most_within_rest(engine, is_sent, is_excused);
    (most > MAX_WITHIN_REST).then(|| {
        let id = engine.id();
        format!("{id} got {most} requests of m{machine} within a rest that it asked for")
    })
}

/// Returns a message if an engine got a request from a machine which a caller sent later than
/// the engine had to be known there to leave. Only a restart or a freeze excuses it; while the
/// machine is cut off its peers send its requests.
fn check_leaving(
    faults: &Faults,
    engine: &Engine,
    machine: usize,
    sent: &HashMap<&str, &SentRequest>,
) -> Option<String> {
    let own = |id: &str| sent.get(id).filter(|one| one.machine == machine);
    let told = first_told_leaving(engine, |id| own(id).is_some())?;
    let arrivals = engine.arrivals();
    let late = arrivals.iter().filter(|arrival| {
        let Some(request) = own(&arrival.request_id) else {
            return false;
        };
        let at = arrival.arrived_at;
        let mut stopped = faults.stopped[machine].iter();
        let is_excused = stopped.any(|span| is_within(span, told, at, Duration::ZERO));
        let mut cut = faults.cut[machine].iter();
        let is_passed_on = cut.any(|span| is_within(span, request.sent, at, PASSING_ENDS));
        request.sent > told + DRAIN_TIME && !is_excused && !is_passed_on
    });
    let late = late.count();
    (late > 0).then(|| {
        let id = engine.id();
        format!("{id} got {late} requests of m{machine} after it had said that it leaves")
    })
}

/// Returns a message for each engine that got requests which it had asked not to get.
pub(crate) fn check_notices(faults: &Faults, requests: &[SentRequest]) -> Vec<String> {
    let sent = requests.iter().map(|one| (one.id.as_str(), one));
    let sent: HashMap<&str, &SentRequest> = sent.collect();
    let deployment = &faults.deployment;
    let mut messages = Vec::new();
    for engine in deployment.engines.iter().chain(&deployment.services) {
        for machine in 0..deployment.machines.len() {
            messages.extend(check_rest(faults, engine, machine, &sent));
            messages.extend(check_leaving(faults, engine, machine, &sent));
        }
    }
    messages
}
