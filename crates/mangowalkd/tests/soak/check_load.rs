//! Checks of what engines get from all instances together.

use {
    super::{
        faults::{Faults, NamedLimit, Span},
        traffic::SentRequest,
    },
    mangowalk_platform_standins::{Engine, RouteKind},
    std::{
        collections::{HashMap, HashSet},
        time::{Duration, Instant},
    },
};

/// Bounds on retries in the machines' settings files.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 50.0;
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Window over which requests to an engine with a limit are counted, and the time after
/// which it holds.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_SETTLE_TIME: Duration = Duration::from_secs(3);

fn count_within(times: &[Instant], from: Instant, window: Duration) -> usize {
    let inside = |at: &&Instant| (from..from + window).contains(*at);
    times.iter().filter(inside).count()
}

/// Returns a message if engines of a kind got more repeated arrivals in a window than the
/// requests of the window, or of the one before it, allow.
fn check_retries(engines: &[Engine], sent: &[Instant]) -> Option<String> {
    let mut arrivals: Vec<_> = engines.iter().flat_map(Engine::arrivals).collect();
    arrivals.sort_by_key(|arrival| arrival.arrived_at);
    let mut seen = HashSet::new();
    arrivals.retain(|arrival| !seen.insert(arrival.request_id.clone()));
    let repeated: Vec<Instant> = arrivals.iter().map(|one| one.arrived_at).collect();
    repeated.iter().find_map(|&from| {
        let repeats = count_within(&repeated, from, RETRY_WINDOW);
        let earlier = [Duration::ZERO, RETRY_WINDOW / 2, RETRY_WINDOW];
        let requests = earlier.map(|earlier| {
            let from = from.checked_sub(earlier).unwrap_or(from);
            count_within(sent, from, RETRY_WINDOW)
        });
        let most = requests.into_iter().max().unwrap_or(0);
        let allowed = RETRY_RATIO * most as f64 + RETRY_SLACK;
        (repeats as f64 > allowed)
            .then(|| format!("{repeats} repeated arrivals for {most} requests, {allowed} allowed"))
    })
}

fn excuses(span: &Span, at: Instant) -> bool {
    (span.from..span.to + LIMIT_SETTLE_TIME).contains(&at)
}

/// Returns a message if an engine got more requests than the limit that it names allows,
/// from machines that weren't disturbed.
fn check_limit(
    faults: &Faults,
    limit: &NamedLimit,
    machines: &HashMap<&str, usize>,
) -> Option<String> {
    let services = &faults.deployment.services;
    let engine = services.iter().find(|engine| engine.id() == limit.engine)?;
    let arrivals = engine.arrivals();
    let counted = arrivals.iter().filter(|arrival| {
        let machine = machines.get(arrival.request_id.as_str());
        let is_excused = machine.is_some_and(|&machine| {
            let mut spans = faults.disturbed[machine].iter();
            spans.any(|span| excuses(span, arrival.arrived_at))
        });
        let begins = limit.span.from + LIMIT_SETTLE_TIME;
        !is_excused && (begins..limit.span.to).contains(&arrival.arrived_at)
    });
    let times: Vec<Instant> = counted.map(|arrival| arrival.arrived_at).collect();
    let allowed = 1.5 * limit.per_s * LIMIT_WINDOW.as_secs_f64() + 5.0;
    let most = times
        .iter()
        .map(|&from| count_within(&times, from, LIMIT_WINDOW))
        .max()?;
    (most as f64 > allowed).then(|| {
        format!(
            "{} got {most} requests in 4 s at a limit of {}, {allowed} allowed",
            limit.engine, limit.per_s
        )
    })
}

/// Returns a message for each bound on what engines get that was passed.
pub(crate) fn check_load(faults: &Faults, requests: &[SentRequest]) -> Vec<String> {
    let is_plain = |kind: RouteKind| matches!(kind, RouteKind::Once | RouteKind::Idempotent);
    let (plain, streams): (Vec<_>, Vec<_>) =
        requests.iter().partition(|request| is_plain(request.kind));
    let times = |of: &[&SentRequest]| of.iter().map(|request| request.sent).collect::<Vec<_>>();
    let deployment = &faults.deployment;
    let machines = requests.iter();
    let machines = machines.map(|request| (request.id.as_str(), request.machine));
    let machines: HashMap<&str, usize> = machines.collect();
    let limits = faults.limits.iter();
    let limits = limits.filter_map(|limit| check_limit(faults, limit, &machines));
    limits
        .chain(check_retries(&deployment.services, &times(&plain)))
        .chain(check_retries(&deployment.engines, &times(&streams)))
        .collect()
}
