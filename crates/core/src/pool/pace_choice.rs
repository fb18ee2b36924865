//! Choice among engines that tell their pace.

use super::{KnownEngine, rendezvous};

/// Unfinished requests per slot, at the usual pace, that reduce the probability of an engine to
/// 1/e. In a model of 89 instances that know loads 200 ms late, at 66 % load, with one of three
/// engines at a third of its pace, 99 % of the requests are on time with 2, 93 % with 1 and 85 %
/// with 0.5.
const REQUESTS_PER_SLOT: f64 = 2.0;

/// Known requests per slot from which on an engine counts as full.
const FULL_REQUESTS_PER_SLOT: f64 = 4.0;

/// Cost of failures and of other failure domains, in tokens, that reduces the probability to 1/e.
const OTHER_COST_TOKENS: f64 = 250.0;

/// Returns the logarithm of an exponentially distributed value that depends on engine and draw.
fn log_exponential(draw: u64, engine: &KnownEngine) -> f64 {
    let hash = rendezvous(draw, &engine.entry.incarnation.id);
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    (-uniform.min(1.0 - f64::EPSILON).ln()).ln()
}

/// Returns a pseudo-random value from 0 to 1 that depends on the draw alone.
pub(super) fn uniform(draw: u64) -> f64 {
    rendezvous(draw, "") as f64 / u64::MAX as f64
}

/// Returns the share that some engines have in the speed of all; 1 if there are no engines.
pub(super) fn speed_share<'a>(
    engines: impl Iterator<Item = &'a KnownEngine>,
    is_counted: impl Fn(&KnownEngine) -> bool,
    now_ms: u64,
) -> f64 {
    let (counted, all) = engines.fold((0.0, 0.0), |(counted, all), engine| {
        let speed = 1.0 / engine.slowdown(now_ms);
        let counted_speed = if is_counted(engine) { speed } else { 0.0 };
        (counted + counted_speed, all + speed)
    });
    if all > 0.0 { counted / all } else { 1.0 }
}

/// Returns the names of `count` engines, drawn with probabilities in proportion to their speed.
pub(super) fn sample_by_speed<'a>(
    engines: impl Iterator<Item = &'a KnownEngine>,
    count: usize,
    draw: u64,
    now_ms: u64,
) -> Vec<&'a str> {
    // The smallest values, each divided by its weight, are such a sample (Efraimidis, Spirakis).
    let keyed = engines.map(|engine| {
        let key = log_exponential(draw, engine) + engine.slowdown(now_ms).ln();
        (key, engine.entry.incarnation.id.as_str())
    });
    let mut keyed: Vec<(f64, &str)> = keyed.collect();
    keyed.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    keyed.into_iter().take(count).map(|(_, id)| id).collect()
}

/// Returns an engine of a service without a model, drawn with a probability that is in
/// proportion to its speed and falls with the time for which its known work takes; `None` if no
/// engine is given. Full engines are drawn only if all are full.
///
/// Addresses many instances that know each other's work one heartbeat late: all would choose the
/// least loaded engine of an old list until it rejects their requests. The larger the share of
/// this instance in the known work is, the more the draw prefers the engine that would complete the
/// request first. `other_cost_tokens` is the cost of an engine apart from its work.
pub(super) fn draw_by_free_speed<'a>(
    engines: impl Iterator<Item = &'a KnownEngine> + Clone,
    other_cost_tokens: impl Fn(&KnownEngine) -> f64,
    draw: u64,
    now_ms: u64,
) -> Option<&'a KnownEngine> {
    let exactness = exactness(engines.clone());
    let key = |engine: &KnownEngine| {
        let slowdown = engine.slowdown(now_ms);
        let speed = f64::from(engine.entry.slots.max(1)) / slowdown;
        let waiting = requests_per_slot(engine) * slowdown / REQUESTS_PER_SLOT;
        let other = other_cost_tokens(engine) / OTHER_COST_TOKENS;
        let log_weight = speed.ln() - waiting - other - exactness * relative_time(engine, slowdown);
        log_exponential(draw, engine) - log_weight
    };
    let first = |a: &&KnownEngine, b: &&KnownEngine| key(a).total_cmp(&key(b));
    let is_free = |engine: &&KnownEngine| requests_per_slot(engine) < FULL_REQUESTS_PER_SLOT;
    let free = engines.clone().filter(is_free).min_by(first);
    free.or_else(|| engines.min_by(first))
}

fn requests_per_slot(engine: &KnownEngine) -> f64 {
    f64::from(engine.load().requests) / f64::from(engine.entry.slots.max(1))
}

/// Returns the time until an engine would complete one more request, relative to the usual time of
/// its work.
fn relative_time(engine: &KnownEngine, slowdown: f64) -> f64 {
    let slots = f64::from(engine.entry.slots.max(1));
    slowdown * f64::max(1.0, requests_per_slot(engine) + 1.0 / slots)
}

/// Returns how exactly the load is known: the square of the ratio of the known load that is this
/// instance's own to that of the others, which is known as it was a heartbeat ago.
fn exactness<'a>(engines: impl Iterator<Item = &'a KnownEngine>) -> f64 {
    let (own, others) = engines.fold((0.0, 0.0), |(own, others), engine| {
        let (own_requests, other_requests) = (engine.own.requests, engine.others.requests);
        (
            own + f64::from(own_requests),
            others + f64::from(other_requests),
        )
    });
    (own / f64::max(others, 0.01)).powi(2)
}
