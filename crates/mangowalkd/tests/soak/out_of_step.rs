//! Instances that are cut off or stand still beside releases, and what they do with streams
//! that callers take up there.

use {
    super::{
        check::{SETTLE_TIME, is_undisturbed},
        faults::Faults,
        schedule::{Fault, PeerCut, ScheduledFault},
        traffic::SentRequest,
    },
    mangowalk_platform_standins::{Machine, Run},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::collections::HashSet,
};

/// First seed with this schedule, so that the schedules of earlier seeds stay as they are.
const FIRST_SEED: u64 = 1_000;

/// Makes this schedule of a seed differ from the others.
const SEED: u64 = 0x0ff;

/// Pause before each event of a stream in these seeds, in milliseconds.
pub(crate) const EVENT_INTERVAL_MS: u64 = 80;

/// Start of the first fault, in milliseconds: the builds are kept in the store by then.
const FIRST_MS: u64 = 2_000;

/// Time for which a machine may still be cut off after a pause, in milliseconds.
const CUT_AFTER_PAUSE_MS: u64 = 1_000;

/// Returns whether a seed has this schedule.
pub(crate) fn has_instances_out_of_step(seed: u64) -> bool {
    seed >= FIRST_SEED
}

/// Returns whether a seed has no other schedule. With all faults in each seed, one would soon
/// hide what another does.
pub(crate) fn plays_out_of_step_only(seed: u64) -> bool {
    has_instances_out_of_step(seed) && !seed.is_multiple_of(2)
}

/// Returns whether new versions join in a seed. In the others, no stream that is taken up at
/// an instance with access to the store may be refused.
fn has_releases(seed: u64) -> bool {
    seed % 4 != 3
}

/// Returns instances out of step, releases beside them and kills of other instances.
pub(crate) fn out_of_step_schedule(
    seed: u64,
    faults_ms: u64,
    machines: usize,
) -> Vec<ScheduledFault> {
    let mut random = SmallRng::seed_from_u64(seed ^ SEED);
    let mut scheduled = Vec::new();
    let mut at_ms = FIRST_MS;
    while has_instances_out_of_step(seed) && at_ms < faults_ms {
        scheduled.extend(episode(&mut random, at_ms, machines));
        if has_releases(seed) && (at_ms == FIRST_MS || random.random_bool(0.7)) {
            let at_ms = at_ms - 200 + random.random_range(0..800);
            let fault = release(&mut random, faults_ms.saturating_sub(at_ms));
            scheduled.push(ScheduledFault { at_ms, fault });
        }
        at_ms += random.random_range(1_000..6_000);
    }
    scheduled.sort_by_key(|scheduled| scheduled.at_ms);
    scheduled
}

/// Returns machines that are out of step from one time on, and kills of others: within a cut,
/// or about when a pause ends.
fn episode(random: &mut SmallRng, at_ms: u64, machines: usize) -> Vec<ScheduledFault> {
    let for_ms = random.random_range(1_000..6_000);
    let victims = random.random_range(1..=machines.div_ceil(4));
    let first = random.random_range(0..machines);
    let is_paused = random.random_bool(0.4);
    let kind = random.random_range(0..6);
    let kills_at_ms = match is_paused {
        true => at_ms + for_ms - 200 + random.random_range(0..500),
        false => at_ms + random.random_range(for_ms / 2..for_ms),
    };
    let faults = |machine: usize| match is_paused {
        true => pause(kind, machine % machines, for_ms),
        false => cuts(kind, machine % machines, for_ms),
    };
    let faults = (first..first + victims).flat_map(faults);
    let faults = faults.map(|fault| ScheduledFault { at_ms, fault });
    let kills = kills(random, first + victims, machines - victims, machines);
    let kills = kills.into_iter().map(|fault| ScheduledFault {
        at_ms: kills_at_ms,
        fault,
    });
    faults.chain(kills).collect()
}

/// Returns the pause of one machine, after which it may be cut off.
fn pause(kind: u32, machine: usize, for_ms: u64) -> Vec<Fault> {
    let mut faults = match kind {
        0 | 1 => cuts(kind, machine, for_ms + CUT_AFTER_PAUSE_MS),
        _ => Vec::new(),
    };
    faults.push(Fault::Freeze { machine, for_ms });
    faults
}

/// Returns the cuts of one machine from the store, its peers or both.
fn cuts(kind: u32, machine: usize, for_ms: u64) -> Vec<Fault> {
    let peers = |cut| Fault::CutPeers {
        machine,
        cut,
        for_ms,
    };
    let silent = Fault::SilenceStore { machine, for_ms };
    let refused = Fault::Refuse { machine, for_ms };
    match kind {
        0 => vec![peers(PeerCut::Both), silent],
        1 => vec![peers(PeerCut::Both), refused],
        2 => vec![peers(PeerCut::Inbound), refused],
        3 => vec![peers(PeerCut::Outbound), silent],
        4 => vec![silent],
        _ => vec![peers(PeerCut::Both)],
    }
}

/// Returns a release. The former version returns only within the time for faults.
fn release(random: &mut SmallRng, remaining_ms: u64) -> Fault {
    let return_ms = match random.random_range(0..3) {
        0 => random.random_range(3_000..8_000),
        1 => random.random_range(30_000..40_000),
        _ => u64::MAX,
    };
    Fault::Release {
        is_drained: random.random_bool(0.5),
        leave_ms: random.random_range(300..5_000),
        return_ms: Some(return_ms).filter(|at_ms| *at_ms < remaining_ms),
    }
}

/// Returns kills of some of the machines from `first` on, or now and then of all machines.
fn kills(random: &mut SmallRng, first: usize, others: usize, machines: usize) -> Vec<Fault> {
    if random.random_bool(0.15) {
        return vec![Fault::KillAll];
    }
    let count = match random.random_bool(0.4) {
        true => others,
        false => random.random_range(1..=others),
    };
    let killed = (0..count).map(|number| (first + number) % machines);
    let for_ms = random.random_range(300..2_500);
    let kill = |machine| Fault::Kill { machine, for_ms };
    killed.map(kill).collect()
}

/// Returns the IDs of the requests that instances refused as their streams' origin wasn't
/// known or had no engine.
pub(crate) fn refused_take_ups(faults: &Faults) -> HashSet<String> {
    let logs = faults.deployment.machines.iter().map(Machine::log);
    let refused = |log: String| -> Vec<String> {
        let lines = log.lines();
        let lines = lines.filter_map(|line| line.split_once("event=not_taken_up request="));
        let ids = lines.filter_map(|(_, rest)| rest.split(' ').next());
        ids.map(str::to_owned).collect()
    };
    logs.flat_map(refused).collect()
}

/// Checks that a refused stream wasn't run, and that none is refused by an instance with
/// access to the store while the service has had a single version.
pub(crate) fn check_refused_take_up(
    faults: &Faults,
    request: &SentRequest,
    ran: &[(&str, Run)],
    refused: &HashSet<String>,
) -> Option<&'static str> {
    // An instance that a peer passed the request on to may refuse it, and the peer goes on.
    if !request.is_refused() || !refused.contains(&request.id) {
        return None;
    }
    if !ran.is_empty() {
        return Some("it ran although it was not taken up");
    }
    let mut releases = faults.releases.iter();
    let is_single = !faults.is_mixed && releases.all(|at| *at > request.ended);
    // No instance reads current state just after its start.
    let is_undisturbed = request.sent > faults.started + SETTLE_TIME
        && is_undisturbed(faults, request.machine, request.sent, request.ended);
    (is_single && is_undisturbed).then_some("it was not taken up at the only version")
}
