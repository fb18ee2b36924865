use {
    super::{
        PROGRAM,
        check::check,
        crashing_part::{has_crashing_part, send_crashing_requests},
        faults::Faults,
        held_streams::hold_stream,
        out_of_step::has_instances_out_of_step,
        peer_cuts::PeerCuts,
        schedule::schedule,
        traffic::{SentRequest, send_requests},
    },
    mangowalk_platform_standins::Deployment,
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

const CALLERS: u64 = 6;

/// Number of streams that callers hold at once in seeds with instances out of step.
const HELD_STREAMS: u64 = 40;

/// Time after the end of the last fault for which callers keep sending requests. All
/// instances must recover within it.
const RECOVERY: Duration = Duration::from_secs(5);

/// Runs the schedule of a seed under traffic and returns the violated guarantees.
pub(crate) fn run_seed(seed: u64, faults_for: Duration, machines: usize) -> Vec<String> {
    let mut faults = start(seed, machines);
    let machines = &faults.deployment.machines;
    let addresses: Vec<SocketAddr> = machines
        .iter()
        .map(|machine| machine.caller_address())
        .collect();
    let stop = AtomicBool::new(false);
    let (requests, crashing, recovered) = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let (addresses, stop) = (&addresses, &stop);
                scope.spawn(move || send_requests(seed * CALLERS + caller, addresses, stop))
            })
            .collect();
        let held = if has_instances_out_of_step(seed) {
            HELD_STREAMS
        } else {
            0
        };
        let holders: Vec<_> = (0..held)
            .map(|stream| {
                let (addresses, stop) = (&addresses, &stop);
                scope.spawn(move || hold_stream(seed * HELD_STREAMS + stream, addresses, stop))
            })
            .collect();
        let crashing = {
            let (addresses, stop) = (&addresses, &stop);
            scope.spawn(move || send_crashing_requests(seed, addresses, stop))
        };
        run_faults(&mut faults, seed, faults_for);
        let recovered = Instant::now();
        thread::sleep(RECOVERY);
        stop.store(true, Ordering::Relaxed);
        let requests: Vec<SentRequest> = callers
            .into_iter()
            .chain(holders)
            .flat_map(|caller| caller.join().expect("a caller doesn't panic"))
            .collect();
        let crashing = crashing.join().expect("a caller doesn't panic");
        (requests, crashing, recovered)
    });
    let violations = check(&faults, &requests, &crashing, recovered);
    let answered = requests
        .iter()
        .filter(|request| request.reply.status == 200);
    let taken_up = requests.iter().filter(|request| request.begun.is_some());
    let refused = taken_up.clone().filter(|request| request.is_refused());
    let unanswered = taken_up.clone().filter(|request| request.reply.status == 0);
    let goes_on = taken_up
        .clone()
        .filter(|request| request.reply.status == 200);
    eprintln!(
        "seed {seed}: {} requests, {} answered with 200, {} streams taken up, {} went on, \
         {} refused, {} got no answer, {} releases, \
         {} engines left, {} crashed of {} requests, {} promises broken",
        requests.len(),
        answered.count(),
        taken_up.count(),
        goes_on.count(),
        refused.count(),
        unanswered.count(),
        faults.releases.len(),
        faults.departures.len(),
        faults.crashes.len(),
        crashing.len(),
        violations.len(),
    );
    if !violations.is_empty() {
        for machine in &faults.deployment.machines {
            eprintln!("log of {}:\n{}", machine.name(), machine.log());
        }
    }
    violations
}

/// Starts a deployment. Every other pair of seeds has engines with two software versions,
/// and engines that join have newer ones.
fn start(seed: u64, machines: usize) -> Faults {
    let is_mixed = seed / 2 % 2 == 1 && !has_instances_out_of_step(seed);
    let crashes = has_crashing_part(seed);
    let versions: &[&str] = match (is_mixed, crashes) {
        (true, false) => &["v1", "v1", "v2", "v2"],
        (false, false) => &["v1"; 3],
        (true, true) => &["v1", "v1", "v1", "v1", "v2", "v2", "v2", "v2"],
        (false, true) => &["v1"; 8],
    };
    let prepared = Deployment::prepare_versions(PROGRAM, machines, versions);
    let (deployment, paths, gates) = prepared.start_on_paths();
    if has_instances_out_of_step(seed) {
        PeerCuts::assert_possible(&deployment.machines);
    }
    Faults::new(deployment, gates, paths, is_mixed, crashes, seed)
}

fn run_faults(faults: &mut Faults, seed: u64, faults_for: Duration) {
    let begin = Instant::now();
    let machines = faults.deployment.machines.len();
    let mut scheduled = schedule(seed, faults_for.as_millis() as u64, machines).into_iter();
    let mut next = scheduled.next();
    while next.is_some() || !faults.is_finished() {
        let now = Instant::now();
        faults.tick(now);
        while let Some(due) = next.filter(|due| now >= begin + Duration::from_millis(due.at_ms)) {
            eprintln!("seed {seed} {:>6} ms  {:?}", due.at_ms, due.fault);
            faults.begin(due.fault, now);
            next = scheduled.next();
        }
        thread::sleep(Duration::from_millis(5));
    }
}
