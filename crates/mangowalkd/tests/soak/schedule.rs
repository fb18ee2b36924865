use {
    super::{
        notices::notice_schedule,
        out_of_step::{out_of_step_schedule, plays_out_of_step_only},
    },
    mangowalk_platform_standins::PathState,
    rand::{Rng, SeedableRng, rngs::SmallRng},
};

/// Which datagrams and connections between an instance and its peers are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerCut {
    Both,
    Inbound,
    Outbound,
}

/// One fault. Machines are given by index, engines by whether they serve a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The store refuses all calls of one machine.
    Refuse { machine: usize, for_ms: u64 },
    /// The instance of a machine is frozen.
    Freeze { machine: usize, for_ms: u64 },
    /// An instance is killed and restarted after the time.
    Kill { machine: usize, for_ms: u64 },
    /// An instance gets SIGTERM and is restarted.
    Stop { machine: usize },
    /// The store refuses all calls.
    StoreBusy { for_ms: u64 },
    /// The store refuses all calls, and the engines' entries expire meanwhile.
    StoreLapses { for_ms: u64 },
    /// The store applies writes and drops its responses to them.
    LoseAnswers { for_ms: u64 },
    /// Reads that may lag do so.
    Lag { for_ms: u64 },
    /// An engine sets its state to draining, then leaves the list. Another one joins.
    Drain { is_model: bool },
    /// An engine leaves the list without draining first. Another one joins.
    Leave { is_model: bool },
    /// An engine runs requests and drops its responses.
    Mute { is_model: bool, for_ms: u64 },
    /// An engine cuts its streams off.
    Cut { for_ms: u64 },
    /// New weights are published.
    NameWeights,
    /// A key is withdrawn and restored after the time.
    Withdraw { for_ms: u64 },
    /// A machine is cut off from all engines.
    CutOff {
        machine: usize,
        state: PathState,
        for_ms: u64,
    },
    /// An engine answers without a length and closes its streams inside an event or
    /// before the first one.
    EndUnframed { events: usize, for_ms: u64 },
    /// An engine answers without a length and resets its streams.
    ResetUnframed { for_ms: u64 },
    /// An engine of the plain service runs one request at a time, rejects all others and
    /// says that it is brittle.
    Crowd { for_ms: u64 },
    /// All engines of the plain service reject what arrives.
    RejectAll { for_ms: u64 },
    /// All instances are killed and restarted.
    KillAll,
    /// An engine refuses requests and asks for rest.
    AskRest {
        is_model: bool,
        tenths_s: u32,
        for_ms: u64,
    },
    /// All engines of a kind do so.
    AllAskRest {
        is_model: bool,
        tenths_s: u32,
        for_ms: u64,
    },
    /// An engine says in its answers that it leaves, and does so after the time. Its entry
    /// stays as it is until then. Another one joins.
    SayLeaving { is_model: bool, for_ms: u64 },
    /// A machine is cut off from all others.
    CutPeers {
        machine: usize,
        cut: PeerCut,
        for_ms: u64,
    },
    /// The store answers no calls of one machine.
    SilenceStore { machine: usize, for_ms: u64 },
    /// Engines with a new software version join, and the former ones leave after a time.
    /// The former version may come back later.
    Release {
        is_drained: bool,
        leave_ms: u64,
        return_ms: Option<u64>,
    },
    /// An engine of the plain service names a limit in tenths of a request a second.
    Limit { tenths_per_s: u32, for_ms: u64 },
}

/// A fault and its start, in milliseconds from the start of the run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ScheduledFault {
    pub(crate) at_ms: u64,
    pub(crate) fault: Fault,
}

/// Bounds of the maximum pause between two faults, in milliseconds. A seed draws it
/// between them, so that schedules are dense or sparse. Most faults last longer than a
/// pause.
const DENSE_MAX_PAUSE_MS: u64 = 900;
const SPARSE_MAX_PAUSE_MS: u64 = 3_500;

/// Number of kinds of faults, which `fault` numbers from 0.
const FAULT_KINDS: u32 = 14;

/// Kinds of faults on the paths to engines and the ends of their answers, with a
/// schedule of their own.
const PATH_FAULT_KINDS: u32 = 5;

/// Bounds of the pauses between two of them, in milliseconds.
const PATH_FAULT_PAUSE_MS: std::ops::Range<u64> = 600..4_000;

/// Makes the second schedule of a seed differ from the first.
const PATH_FAULT_SEED: u64 = 0x5eed;

/// Bounds of the pauses between faults that engines and instances have under load, in
/// milliseconds.
const LOAD_FAULT_PAUSE_MS: std::ops::Range<u64> = 800..4_000;

/// Makes the third schedule of a seed differ from the others.
const LOAD_FAULT_SEED: u64 = 0x10ad;

/// Returns all schedules of a seed, in order of time.
pub(crate) fn schedule(seed: u64, faults_ms: u64, machines: usize) -> Vec<ScheduledFault> {
    let mut scheduled = out_of_step_schedule(seed, faults_ms, machines);
    if plays_out_of_step_only(seed) {
        return scheduled;
    }
    scheduled.extend(first_schedule(seed, faults_ms, machines));
    scheduled.extend(path_schedule(seed, faults_ms, machines));
    scheduled.extend(load_schedule(seed, faults_ms));
    scheduled.extend(notice_schedule(seed, faults_ms));
    scheduled.sort_by_key(|scheduled| scheduled.at_ms);
    scheduled
}

/// Returns faults that make instances send requests again, and limits of engines; every
/// third seed has some.
fn load_schedule(seed: u64, faults_ms: u64) -> Vec<ScheduledFault> {
    let mut random = SmallRng::seed_from_u64(seed ^ LOAD_FAULT_SEED);
    let mut scheduled = Vec::new();
    let mut at_ms = random.random_range(LOAD_FAULT_PAUSE_MS);
    while seed % 3 == 1 && at_ms < faults_ms {
        let fault = match random.random_range(0..4) {
            0 | 1 => Fault::RejectAll {
                for_ms: random.random_range(1_000..6_000),
            },
            2 => Fault::KillAll,
            _ => Fault::Limit {
                tenths_per_s: random.random_range(5..40),
                for_ms: random.random_range(8_000..14_000),
            },
        };
        scheduled.push(ScheduledFault { at_ms, fault });
        at_ms += random.random_range(LOAD_FAULT_PAUSE_MS);
    }
    scheduled
}

/// Returns faults on paths and ends of answers; every other seed has none.
fn path_schedule(seed: u64, faults_ms: u64, machines: usize) -> Vec<ScheduledFault> {
    let mut random = SmallRng::seed_from_u64(seed ^ PATH_FAULT_SEED);
    let mut scheduled = Vec::new();
    let mut at_ms = random.random_range(PATH_FAULT_PAUSE_MS);
    while seed.is_multiple_of(2) && at_ms < faults_ms {
        let fault = path_fault(&mut random, machines);
        scheduled.push(ScheduledFault { at_ms, fault });
        at_ms += random.random_range(PATH_FAULT_PAUSE_MS);
    }
    scheduled
}

fn path_fault(random: &mut SmallRng, machines: usize) -> Fault {
    let for_ms = random.random_range(300..4_000);
    match random.random_range(0..PATH_FAULT_KINDS) {
        0 | 1 => Fault::CutOff {
            machine: random.random_range(0..machines),
            state: match random.random_range(0..4) {
                0 => PathState::Silent,
                1 => PathState::Reset,
                2 => PathState::RefusesNew,
                _ => PathState::Paused,
            },
            for_ms,
        },
        2 => Fault::EndUnframed {
            events: random.random_range(0..6),
            for_ms,
        },
        3 => Fault::ResetUnframed { for_ms },
        _ => Fault::Crowd { for_ms },
    }
}

/// Returns the schedule of the other faults, in order of time.
///
/// Each seed uses about half of the kinds, chosen at random. With all kinds in each
/// schedule, one fault would soon hide the effects of another one.
fn first_schedule(seed: u64, faults_ms: u64, machines: usize) -> Vec<ScheduledFault> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut kinds: Vec<u32> = (0..FAULT_KINDS)
        .filter(|_| random.random_bool(0.5))
        .collect();
    if kinds.is_empty() {
        kinds = (0..FAULT_KINDS).collect();
    }
    let max_pause_ms = random.random_range(DENSE_MAX_PAUSE_MS..SPARSE_MAX_PAUSE_MS);
    let mut at_ms = 300;
    let mut scheduled = Vec::new();
    while at_ms < faults_ms {
        let kind = kinds[random.random_range(0..kinds.len())];
        let fault = fault(kind, &mut random, machines);
        scheduled.push(ScheduledFault { at_ms, fault });
        at_ms += random.random_range(150..max_pause_ms);
    }
    scheduled
}

fn fault(kind: u32, random: &mut SmallRng, machines: usize) -> Fault {
    let machine = random.random_range(0..machines);
    let is_model = random.random_bool(0.5);
    let for_ms = random.random_range(200..2_500);
    match kind {
        0 => Fault::Freeze { machine, for_ms },
        1 => Fault::Kill { machine, for_ms },
        2 => Fault::Stop { machine },
        3 => Fault::StoreBusy { for_ms },
        4 => Fault::StoreLapses { for_ms },
        5 => Fault::LoseAnswers { for_ms },
        6 => Fault::Lag { for_ms },
        7 => Fault::Drain { is_model },
        8 => Fault::Leave { is_model },
        9 => Fault::Mute { is_model, for_ms },
        10 => Fault::Cut { for_ms },
        11 => Fault::NameWeights,
        12 => Fault::Withdraw {
            for_ms: 3_000 + for_ms,
        },
        _ => Fault::Refuse {
            machine,
            for_ms: for_ms * 7,
        },
    }
}
