use {
    super::{
        check_load::check_load,
        crashing_part::{CrashingRequest, check_crashing_part},
        faults::{Departure, Faults, Span},
        notices::check_notices,
        out_of_step::{check_refused_take_up, refused_take_ups},
        traffic::SentRequest,
    },
    mangowalk_platform_standins::{RouteKind, Run},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Time after the last disturbance of a machine from which time bounds apply to it.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(3_000);

/// Time after an engine's departure from which it must get no request, with an
/// allowance for a request already on its way on a busy machine.
const MAX_DRAIN_DELAY: Duration = Duration::from_millis(2_000 + 300);

/// Time after which a withdrawn key must be rejected, with the same allowance.
const MAX_WITHDRAWAL_DELAY: Duration = Duration::from_millis(2_000 + 300);

/// Maximum number of open file descriptors of an instance with few callers.
const MAX_DESCRIPTORS: usize = 200;

/// Runs with the IDs of their engines, by request ID.
type Runs<'a> = HashMap<String, Vec<(&'a str, Run)>>;

/// Checks all requests and the state of the instances. Returns a message for each
/// violated guarantee.
pub(crate) fn check(
    faults: &Faults,
    requests: &[SentRequest],
    crashing: &[CrashingRequest],
    recovered: Instant,
) -> Vec<String> {
    let deployment = &faults.deployment;
    let mut runs: Runs<'_> = HashMap::new();
    for engine in deployment.engines.iter().chain(&deployment.services) {
        for run in engine.runs() {
            let of_request = runs.entry(run.request_id.clone()).or_default();
            of_request.push((engine.id(), run));
        }
    }
    let refused = refused_take_ups(faults);
    let mut violations = Vec::new();
    for request in requests {
        let ran = runs.get(&request.id).map_or(&[][..], Vec::as_slice);
        let checks = [
            check_runs_at_most_once(request, ran),
            check_refused_not_run(request, ran),
            check_response(request),
            check_software(request),
            check_team(request, ran),
            check_departed_engine(faults, request, ran),
            check_withdrawn_key(faults, request),
            check_refused_take_up(faults, request, ran, &refused),
        ];
        let failures = checks.into_iter().flatten();
        violations.extend(failures.map(|failure| {
            format!(
                "{failure}: request {} at m{} got {}, {ran:?}",
                request.id, request.machine, request.reply.status
            )
        }));
    }
    violations.extend(check_recovery(faults, requests, recovered));
    violations.extend(check_descriptors(faults));
    violations.extend(check_load(faults, requests));
    violations.extend(check_notices(faults, requests));
    violations.extend(check_crashing_part(faults, crashing));
    violations
}

fn may_run_again(request: &SentRequest) -> bool {
    matches!(request.kind, RouteKind::Idempotent | RouteKind::Resumable)
}

fn check_runs_at_most_once(request: &SentRequest, ran: &[(&str, Run)]) -> Option<&'static str> {
    (!may_run_again(request) && ran.len() > 1).then_some("it ran twice")
}

fn check_refused_not_run(request: &SentRequest, ran: &[(&str, Run)]) -> Option<&'static str> {
    (request.is_refused() && !may_run_again(request) && !ran.is_empty())
        .then_some("it ran although it was refused as not run")
}

fn check_response(request: &SentRequest) -> Option<&'static str> {
    let reply = &request.reply;
    if reply.status != 200 || !reply.is_complete {
        return None;
    }
    let is_own = match request.kind {
        RouteKind::Stream | RouteKind::Resumable => request.stream().is_complete_stream(),
        RouteKind::Once | RouteKind::Idempotent => reply.body == format!("body of {}", request.id),
    };
    (!is_own || !reply.has_response_stamp())
        .then_some("the response isn't the complete response to this request")
}

/// Checks that all events that a caller has of a stream, over all its tries, come from
/// engines with one software version.
fn check_software(request: &SentRequest) -> Option<&'static str> {
    let stream = request.stream();
    (stream.software_versions().len() > 1)
        .then_some("its stream has events of two software versions")
}

fn check_team(request: &SentRequest, ran: &[(&str, Run)]) -> Option<&'static str> {
    let team = if request.uses_withdrawn_key {
        "walled"
    } else {
        "shop"
    };
    if ran.iter().any(|(_, run)| run.received_key) {
        return Some("an engine saw the key");
    }
    let is_own = |run: &Run| run.tenant.as_deref() == Some(team);
    let is_foreign = ran.iter().any(|(_, run)| !is_own(run));
    is_foreign.then_some("it ran for another team")
}

fn is_outside(span: &Span, from: Instant, to: Instant) -> bool {
    span.from > to || span.to + SETTLE_TIME < from
}

/// Returns whether neither the machine nor the store was disturbed in an interval or
/// shortly before it.
pub(crate) fn is_undisturbed(faults: &Faults, machine: usize, from: Instant, to: Instant) -> bool {
    let own = &faults.disturbed[machine];
    let mut all = own.iter().chain(&faults.store_disturbed);
    all.all(|span| is_outside(span, from, to))
}

/// Returns whether a machine was running and at least one of its peers could read the
/// store and report to it, undisturbed and not cut off since a departure.
fn has_informed_peer(faults: &Faults, machine: usize, departure: &Departure, to: Instant) -> bool {
    let mut stopped = faults.stopped[machine].iter();
    let runs = stopped.all(|span| is_outside(span, to, to));
    let is_connected = |machine: usize| {
        let mut cuts = faults.peer_cuts.spans[machine].iter();
        cuts.all(|span| is_outside(span, departure.at, to))
    };
    let mut peers = (0..faults.disturbed.len()).filter(|peer| *peer != machine);
    runs && is_connected(machine)
        && peers.any(|peer| is_connected(peer) && is_undisturbed(faults, peer, departure.at, to))
}

fn check_departed_engine(
    faults: &Faults,
    request: &SentRequest,
    ran: &[(&str, Run)],
) -> Option<&'static str> {
    for (engine, run) in ran {
        let mut departures = faults.departures.iter();
        let Some(departure) = departures.find(|departure| departure.engine == *engine) else {
            continue;
        };
        if run.started_at <= departure.at + MAX_DRAIN_DELAY {
            continue;
        }
        // A departure written while the store was disturbed sets no time bound.
        let mut disturbed = faults.store_disturbed.iter();
        let store_was_undisturbed =
            disturbed.all(|span| is_outside(span, departure.at, departure.at));
        if store_was_undisturbed
            && is_undisturbed(faults, request.machine, request.sent, run.started_at)
        {
            return Some("a departed engine got a request from an instance with store access");
        }
        if has_informed_peer(faults, request.machine, departure, run.started_at) {
            return Some(
                "a departed engine got a request although a peer could report its departure",
            );
        }
    }
    None
}

fn check_withdrawn_key(faults: &Faults, request: &SentRequest) -> Option<&'static str> {
    if !request.uses_withdrawn_key || request.reply.status != 200 {
        return None;
    }
    let is_out =
        |span: &Span| request.sent > span.from + MAX_WITHDRAWAL_DELAY && request.ended < span.to;
    let is_late = faults.withdrawn.iter().any(is_out)
        && is_undisturbed(faults, request.machine, request.sent, request.ended);
    is_late.then_some("a withdrawn key was served")
}

/// Checks that each machine is ready at the end and has answered at least 90% of the
/// requests sent from 2 seconds after the end of the last fault with 200.
fn check_recovery(faults: &Faults, requests: &[SentRequest], recovered: Instant) -> Vec<String> {
    let machines = faults.deployment.machines.iter().enumerate();
    let later = requests
        .iter()
        .filter(|request| request.sent > recovered + Duration::from_secs(2))
        .filter(|request| !(request.is_held && request.begun.is_some()));
    let failures = machines.filter_map(|(index, machine)| {
        let served = later.clone().filter(|request| request.machine == index);
        let (all, served) = served.fold((0, 0), |(all, served), request| {
            (all + 1, served + usize::from(request.reply.status == 200))
        });
        let is_recovered = machine.is_ready() && served * 10 >= all * 9;
        (!is_recovered).then(|| {
            let name = machine.name();
            let state = machine.process_state();
            format!("{name} has not recovered after the faults: {served} of {all} served, {state}")
        })
    });
    failures.collect()
}

fn check_descriptors(faults: &Faults) -> Vec<String> {
    let machines = faults.deployment.machines.iter();
    let counts = machines.map(|machine| {
        let open = std::fs::read_dir(format!("/proc/{}/fd", machine.pid()));
        (machine.name(), open.map_or(0, Iterator::count))
    });
    counts
        .filter(|(_, count)| *count > MAX_DESCRIPTORS)
        .map(|(name, count)| format!("{name} has {count} open file descriptors"))
        .collect()
}
