use {
    super::{EngineRequirements, HealthSettings, KnownEngine},
    crate::weights::VersionBounds,
};

/// Weights of the choice among engines. All are in tokens of prompt, the unit
/// that an engine's time goes into.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceSettings {
    /// Failures and pauses.
    pub health: HealthSettings,
    /// Time for which a part that was used is taken to be in the cache; the ends
    /// of prompts that nobody else shares push it out. An instance works it out
    /// while it serves; see [`super::Turnover`].
    pub retention_ms: u64,
    /// Part of the shared tokens that count as read again on an engine that
    /// isn't known to hold them, where a store of kept parts brings them.
    pub fetch_cost_ratio: f64,
    /// Tokens that one running request counts: each makes every step of the
    /// engine a little longer.
    pub running_tokens: f64,
    /// Tokens that an engine in another failure domain counts more; the
    /// request's body and answer cross between domains, which is paid for.
    pub other_domain_tokens: f64,
    /// Tokens that one aged failure counts.
    pub failure_tokens: f64,
    /// Tokens that an engine with old weights counts more.
    pub old_weights_tokens: f64,
    /// Tokens that an engine counts more whose weights make answers worth
    /// less.
    pub overdue_weights_tokens: f64,
    /// Tokens that an engine without room in its memory counts more.
    pub full_tokens: f64,
    /// Most tokens that an engine counts more by chance, to break ties.
    pub jitter_tokens: f64,
    /// Engines that are looked at beside those that may keep the prompt, for a
    /// prompt of the usual length. Instances hear of each other's work up to a
    /// heartbeat later; if all looked at all engines, all would send to the
    /// same one meanwhile. See [`super::MeanPromptLength`] for others.
    pub sample: usize,
    /// Part of a prompt's unread tokens that counts for each request which
    /// already runs at the engine. All of them wait while it is read: without
    /// this, long prompts are spread evenly, every step of every engine has a
    /// piece of one to read, and streams that run there crawl past their
    /// deadlines.
    pub delay_ratio: f64,
    /// Tokens that an engine counts less if a shared part belongs there by
    /// its hash; lets all instances agree without speaking.
    pub home_tokens: f64,
}

impl Default for ChoiceSettings {
    fn default() -> ChoiceSettings {
        ChoiceSettings {
            health: HealthSettings::default(),
            retention_ms: 3_500,
            fetch_cost_ratio: 0.35,
            running_tokens: 60.0,
            other_domain_tokens: 60.0,
            failure_tokens: 4_000.0,
            old_weights_tokens: 500.0,
            overdue_weights_tokens: 4_000.0,
            full_tokens: 30_000.0,
            home_tokens: 1_000.0,
            jitter_tokens: 50.0,
            sample: 2,
            delay_ratio: 0.2,
        }
    }
}

/// Work of one request against the whole of a plain engine, in the same unit.
const PLAIN_REQUEST_TOKENS: f64 = 1_000.0;

/// Returns the weight of an engine for a part. The engine with the largest is
/// the part's home; all instances work out the same one.
pub fn rendezvous(part: u64, engine: &str) -> u64 {
    let mut hash = part ^ 0x9e37_79b9_7f4a_7c15;
    for byte in engine.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^= hash >> 29;
    hash = hash.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash ^ (hash >> 32)
}

/// Chooses the engine that runs a request soonest, among those given; never
/// one whose weights are out of bounds.
///
/// `draw` breaks ties, so that instances that see the same loads don't all
/// choose the same engine.
pub fn choose<'a>(
    engines: impl Iterator<Item = &'a KnownEngine> + Clone,
    requirements: &EngineRequirements,
    wanted: VersionBounds,
    memory_tokens: u64,
    settings: &ChoiceSettings,
    draw: u64,
    now_ms: u64,
) -> Option<&'a KnownEngine> {
    let home = requirements.shared_part().and_then(|part| {
        engines
            .clone()
            .max_by_key(|engine| rendezvous(part, &engine.entry.incarnation.id))
            .map(|engine| engine.entry.incarnation.id.as_str())
    });
    let version = |engine: &KnownEngine| {
        requirements
            .model
            .as_ref()
            .map_or(0, |model| engine.version(model))
    };
    let usable = |engine: &&KnownEngine| {
        !engine.is_excluded(&settings.health, now_ms) && version(engine) >= wanted.min_allowed
    };
    let available = |engine: &&KnownEngine| usable(engine) && !engine.is_paused(now_ms);
    let cheapest = |a: &&KnownEngine, b: &&KnownEngine| {
        let cost = |engine: &KnownEngine| {
            cost_tokens(
                engine,
                requirements,
                wanted,
                memory_tokens,
                settings,
                home,
                now_ms,
            ) + jitter(draw, &engine.entry.incarnation.id) * settings.jitter_tokens
        };
        cost(a).total_cmp(&cost(b))
    };
    let sampled = sample(engines.clone().filter(available), settings.sample, draw);
    let has_cached = |engine: &&KnownEngine| {
        let part = requirements.shared_part();
        part.is_some_and(|part| engine.has_cached(part, settings.retention_ms, now_ms))
    };
    let is_candidate = |engine: &&KnownEngine| {
        let id = engine.entry.incarnation.id.as_str();
        requirements.model.is_none()
            || home == Some(id)
            || sampled.contains(&id)
            || has_cached(engine)
    };
    engines
        .clone()
        .filter(available)
        .filter(is_candidate)
        .min_by(cheapest)
        .or_else(|| engines.clone().filter(usable).min_by(cheapest))
}

/// Returns the names of a few engines, other ones with each draw.
fn sample<'a>(
    engines: impl Iterator<Item = &'a KnownEngine>,
    count: usize,
    draw: u64,
) -> Vec<&'a str> {
    let mut drawn: Vec<(u64, &str)> = engines
        .map(|engine| engine.entry.incarnation.id.as_str())
        .map(|id| (rendezvous(draw, id), id))
        .collect();
    drawn.sort_unstable();
    drawn.into_iter().take(count).map(|(_, id)| id).collect()
}

/// Returns a part of one that differs by engine and draw.
fn jitter(draw: u64, engine: &str) -> f64 {
    (rendezvous(draw, engine) % 1_000) as f64 / 1_000.0
}

fn cost_tokens(
    engine: &KnownEngine,
    requirements: &EngineRequirements,
    wanted: VersionBounds,
    memory_tokens: u64,
    settings: &ChoiceSettings,
    home: Option<&str>,
    now_ms: u64,
) -> f64 {
    let load = engine.load();
    let mut cost = settings.failure_tokens * engine.health.failures(&settings.health, now_ms);
    if engine.entry.domain != requirements.domain {
        cost += settings.other_domain_tokens;
    }
    let Some(model) = &requirements.model else {
        let slots = engine.entry.slots.max(1);
        return cost + PLAIN_REQUEST_TOKENS * f64::from(load.requests) / f64::from(slots);
    };
    cost += f64::from(load.prefill_tokens);
    cost += settings.running_tokens * f64::from(load.requests);
    if load.requests >= engine.entry.slots
        || u64::from(load.memory_tokens) + requirements.memory_tokens > memory_tokens
    {
        cost += settings.full_tokens;
    }
    if engine.version(model) < wanted.newest {
        cost += settings.old_weights_tokens;
    }
    if engine.version(model) < wanted.min_preferred {
        cost += settings.overdue_weights_tokens;
    }
    let is_cached = requirements
        .shared_part()
        .is_some_and(|part| engine.has_cached(part, settings.retention_ms, now_ms));
    let mut unread_tokens = requirements.prompt_tokens;
    if is_cached {
        unread_tokens = unread_tokens.saturating_sub(requirements.shared_tokens());
    } else {
        cost += requirements.shared_tokens() as f64 * settings.fetch_cost_ratio;
    }
    cost += unread_tokens as f64 * f64::from(load.requests) * settings.delay_ratio;
    if home == Some(engine.entry.incarnation.id.as_str()) {
        cost -= settings.home_tokens;
    }
    cost
}
