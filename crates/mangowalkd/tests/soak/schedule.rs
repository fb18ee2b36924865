use rand::{Rng, SeedableRng, rngs::SmallRng};

/// One fault; machines and engines are named by their places.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The store refuses one machine.
    Refuse { machine: usize, for_ms: u64 },
    /// A machine stands still.
    Freeze { machine: usize, for_ms: u64 },
    /// An instance is killed, and started again.
    Kill { machine: usize, for_ms: u64 },
    /// An instance is told to stop, and started again.
    Stop { machine: usize },
    /// The store refuses all.
    StoreBusy { for_ms: u64 },
    /// The same, and the engines' entries lapse meanwhile.
    StoreLapses { for_ms: u64 },
    /// The store carries writes out and doesn't answer them.
    LoseAnswers { for_ms: u64 },
    /// Cheaper readings lag.
    Lag { for_ms: u64 },
    /// An engine says that it leaves, then leaves the list; another one comes.
    Drain { is_model: bool },
    /// An engine leaves the list without a word before; another one comes.
    Leave { is_model: bool },
    /// An engine runs requests and gives no answers.
    Mute { is_model: bool, for_ms: u64 },
    /// An engine cuts its streams off.
    Cut { for_ms: u64 },
    /// New weights are named.
    NameWeights,
    /// A key is withdrawn, and given again.
    Withdraw { for_ms: u64 },
}

/// When a fault begins.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ScheduledFault {
    pub(crate) at_ms: u64,
    pub(crate) fault: Fault,
}

/// Longest pause between two faults of a dense and of a sparse seed; shorter than
/// most faults last.
const DENSE_MAX_PAUSE_MS: u64 = 900;
const SPARSE_MAX_PAUSE_MS: u64 = 3_500;

/// Kinds of faults, in the order of `fault`.
const FAULT_KINDS: u32 = 14;

/// Returns the faults that a seed gives, in order.
///
/// Each seed has kinds of its own, about half of them: with all of them in each,
/// one fault soon hides what another one does.
pub(crate) fn schedule(seed: u64, faults_ms: u64, machines: usize) -> Vec<ScheduledFault> {
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
