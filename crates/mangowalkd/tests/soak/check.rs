use {
    super::{
        faults::{Faults, Left, Span},
        traffic::Asked,
    },
    mangowalk_platform_standins::{RouteKind, Run},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Time for which nothing may have disturbed a machine for bounds to hold there.
const STABLE: Duration = Duration::from_millis(3_000);

/// Time after an engine's word that it leaves from which on it gets no work, with
/// what a request may take on its way on a busy machine.
const DRAIN: Duration = Duration::from_millis(2_000 + 300);

/// Time in which a withdrawn key stops.
const WITHDRAW: Duration = Duration::from_millis(2_000 + 300);

/// Descriptors that an instance with few callers may hold.
const MOST_DESCRIPTORS: usize = 200;

/// What engines ran, by request.
type Runs<'a> = HashMap<String, Vec<(&'a str, Run)>>;

/// Returns the promises that were broken.
pub(crate) fn check(faults: &Faults, asked: &[Asked], recovered: Instant) -> Vec<String> {
    let deployment = &faults.deployment;
    let mut runs: Runs<'_> = HashMap::new();
    for engine in deployment.engines.iter().chain(&deployment.services) {
        for run in engine.runs() {
            let of_request = runs.entry(run.request_id.clone()).or_default();
            of_request.push((engine.id(), run));
        }
    }
    let mut broken = Vec::new();
    for one in asked {
        let ran = runs.get(&one.id).map_or(&[][..], Vec::as_slice);
        let checks = [
            once(one, ran),
            refusal(one, ran),
            answer(one),
            team(one, ran),
            leaving(faults, one, ran),
            withdrawn(faults, one),
        ];
        let failures = checks.into_iter().flatten();
        broken.extend(failures.map(|failure| {
            format!(
                "{failure}: request {} at m{} got {}, {ran:?}",
                one.id, one.machine, one.reply.status
            )
        }));
    }
    broken.extend(recovery(faults, asked, recovered));
    broken.extend(descriptors(faults));
    broken
}

fn may_run_again(one: &Asked) -> bool {
    matches!(one.kind, RouteKind::Idempotent | RouteKind::Resumable)
}

fn once(one: &Asked, ran: &[(&str, Run)]) -> Option<&'static str> {
    (!may_run_again(one) && ran.len() > 1).then_some("it ran twice")
}

fn refusal(one: &Asked, ran: &[(&str, Run)]) -> Option<&'static str> {
    let promises = matches!(one.reply.status, 408 | 421 | 429 | 503);
    (promises && !may_run_again(one) && !ran.is_empty()).then_some("it was refused and has run")
}

fn answer(one: &Asked) -> Option<&'static str> {
    let reply = &one.reply;
    if reply.status != 200 || !reply.is_whole {
        return None;
    }
    let is_own = match one.kind {
        RouteKind::Stream | RouteKind::Resumable => reply.is_whole_stream(),
        RouteKind::Once | RouteKind::Idempotent => reply.body == format!("body of {}", one.id),
    };
    (!is_own || !reply.is_signed()).then_some("the answer is not the whole one of the request")
}

fn team(one: &Asked, ran: &[(&str, Run)]) -> Option<&'static str> {
    let team = if one.is_walled { "walled" } else { "shop" };
    if ran.iter().any(|(_, run)| run.saw_key) {
        return Some("an engine saw the key");
    }
    let is_own = |run: &Run| run.tenant.as_deref() == Some(team);
    let is_foreign = ran.iter().any(|(_, run)| !is_own(run));
    is_foreign.then_some("it ran for another team")
}

fn is_clear(span: &Span, from: Instant, to: Instant) -> bool {
    span.from > to || span.to + STABLE < from
}

/// Returns whether neither the machine nor the store was disturbed for long.
fn is_in_touch(faults: &Faults, machine: usize, from: Instant, to: Instant) -> bool {
    let own = &faults.disturbed[machine];
    let mut all = own.iter().chain(&faults.store_disturbed);
    all.all(|span| is_clear(span, from, to))
}

/// Returns whether a machine runs whose peers have told it what they read in the
/// store: one of them was in touch from a departure on.
fn is_told(faults: &Faults, machine: usize, left: &Left, to: Instant) -> bool {
    let mut stopped = faults.stopped[machine].iter();
    let runs = stopped.all(|span| is_clear(span, to, to));
    let mut peers = (0..faults.disturbed.len()).filter(|peer| *peer != machine);
    runs && peers.any(|peer| is_in_touch(faults, peer, left.at, to))
}

fn leaving(faults: &Faults, one: &Asked, ran: &[(&str, Run)]) -> Option<&'static str> {
    for (engine, run) in ran {
        let mut left = faults.left.iter();
        let Some(left) = left.find(|left| left.engine == *engine) else {
            continue;
        };
        if run.at <= left.at + DRAIN {
            continue;
        }
        // What the store took on while it was disturbed binds nobody.
        let mut disturbed = faults.store_disturbed.iter();
        let is_binding = disturbed.all(|span| is_clear(span, left.at, left.at));
        if is_binding && is_in_touch(faults, one.machine, one.sent, run.at) {
            return Some("an engine that leaves got work");
        }
        if is_told(faults, one.machine, left, run.at) {
            return Some("an engine got work that a peer saw leave");
        }
    }
    None
}

fn withdrawn(faults: &Faults, one: &Asked) -> Option<&'static str> {
    if !one.is_walled || one.reply.status != 200 {
        return None;
    }
    let is_out = |span: &Span| one.sent > span.from + WITHDRAW && one.ended < span.to;
    let is_late = faults.withdrawn.iter().any(is_out)
        && is_in_touch(faults, one.machine, one.sent, one.ended);
    is_late.then_some("a withdrawn key was served")
}

fn recovery(faults: &Faults, asked: &[Asked], recovered: Instant) -> Vec<String> {
    let machines = faults.deployment.machines.iter().enumerate();
    let later = asked
        .iter()
        .filter(|one| one.sent > recovered + Duration::from_secs(2));
    let unwell = machines.filter_map(|(place, machine)| {
        let served = later.clone().filter(|one| one.machine == place);
        let (all, served) = served.fold((0, 0), |(all, served), one| {
            (all + 1, served + usize::from(one.reply.status == 200))
        });
        let is_well = machine.is_ready() && served * 10 >= all * 9;
        (!is_well).then(|| {
            let name = machine.name();
            format!("{name} is not well after the faults: {served} of {all} served")
        })
    });
    unwell.collect()
}

fn descriptors(faults: &Faults) -> Vec<String> {
    let machines = faults.deployment.machines.iter();
    let held = machines.map(|machine| {
        let open = std::fs::read_dir(format!("/proc/{}/fd", machine.pid()));
        (machine.name(), open.map_or(0, Iterator::count))
    });
    held.filter(|(_, count)| *count > MOST_DESCRIPTORS)
        .map(|(name, count)| format!("{name} holds {count} descriptors"))
        .collect()
}
