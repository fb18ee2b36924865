use {
    super::{
        EngineRequirements, HealthSettings, KnownEngine,
        pace_choice::{draw_by_free_speed, sample_by_speed, speed_share, uniform},
    },
    crate::weights::VersionBounds,
};

/// Costs in the choice among engines. All are in prompt tokens, the unit of
/// work that takes most of the time of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceSettings {
    /// Failure decay and probing.
    pub health: HealthSettings,
    /// Time for which a part is assumed to stay in the cache after its last
    /// use; the unshared ends of prompts push it out. Instances compute it
    /// while serving; see [`super::Turnover`].
    pub retention_ms: u64,
    /// Share of the shared tokens that counts as read again on an engine that
    /// is not known to have them cached, where a KV cache store supplies them.
    pub fetch_cost_ratio: f64,
    /// Cost of one running request: each lengthens every step of the engine a
    /// little.
    pub running_tokens: f64,
    /// Additional cost of an engine in another failure domain: the body and the
    /// answer of the request cross domains, which is charged for.
    pub other_domain_tokens: f64,
    /// Cost of one failure, after decay.
    pub failure_tokens: f64,
    /// Additional cost of an engine with weights older than the newest.
    pub old_weights_tokens: f64,
    /// Additional cost of an engine whose weights are so old that its answers
    /// are worth less.
    pub overdue_weights_tokens: f64,
    /// Work until the first event, in tokens at the usual pace, up to which engines whose weights
    /// aren't replaced are preferred to others, where engines tell their pace; 0 for no such
    /// preference. Follows from the target of the request.
    pub newest_within_tokens: f64,
    /// Maximum ratio of the share of requests that prefer such engines to the share that these
    /// have in the speed of all. While few engines have new weights, all instances would send
    /// them what they can't take before peers learn of it.
    pub newest_share_factor: f64,
    /// Additional cost of an engine without a free slot or without memory for
    /// the request.
    pub full_tokens: f64,
    /// Maximum random cost, which breaks ties.
    pub jitter_tokens: f64,
    /// Number of engines considered besides those that may have the prompt
    /// cached, for a prompt of mean length. Instances learn of the work of each
    /// other up to one heartbeat late; if all considered all engines, all would
    /// send to the same one in the meantime. See [`super::MeanPromptLength`]
    /// for other lengths.
    pub sampled_engines: usize,
    /// Share of the unread tokens of a prompt that is charged for each request
    /// already running at the engine, since all of them are delayed while the
    /// prompt is read. Without it, long prompts are spread evenly, every step
    /// of every engine contains a chunk of one, and streams running there miss
    /// their deadlines.
    pub delay_ratio: f64,
    /// Cost reduction for the home of a shared part, chosen by rendezvous
    /// hashing, so that all instances agree on an engine without communication.
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
            newest_within_tokens: 0.0,
            newest_share_factor: 2.0,
            full_tokens: 30_000.0,
            home_tokens: 1_000.0,
            jitter_tokens: 50.0,
            sampled_engines: 2,
            delay_ratio: 0.2,
        }
    }
}

/// Cost of one request at an engine without a model, divided by the slots of
/// the engine.
const REQUEST_TOKENS_WITHOUT_MODEL: f64 = 1_000.0;

/// Returns the rendezvous hash of a part and an engine. The engine with the
/// highest hash is the home of the part; all instances compute the same one.
pub fn rendezvous(part: u64, engine: &str) -> u64 {
    let mut hash = part ^ 0x9e37_79b9_7f4a_7c15;
    for byte in engine.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^= hash >> 29;
    hash = hash.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash ^ (hash >> 32)
}

/// Returns the engine that can run a request soonest among the given ones, or
/// `None` if no engine is usable. Engines with weights older than
/// `version_bounds` permits are never chosen; paused ones only if no other is
/// available, and those that only peers report as silent if there is none at all.
///
/// `memory_tokens` is the memory of one engine. `draw` is a random number that
/// selects the sampled engines and breaks ties, so that instances with the same
/// view of the loads do not all choose the same engine.
pub fn choose<'a>(
    engines: impl Iterator<Item = &'a KnownEngine> + Clone,
    requirements: &EngineRequirements,
    version_bounds: VersionBounds,
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
    let is_allowed = |engine: &&KnownEngine| version(engine) >= version_bounds.min_allowed;
    let usable =
        |engine: &&KnownEngine| !engine.is_excluded(&settings.health, now_ms) && is_allowed(engine);
    let reported_only = |engine: &&KnownEngine| {
        engine.is_excluded_by_report_only(&settings.health, now_ms) && is_allowed(engine)
    };
    let available = |engine: &&KnownEngine| usable(engine) && !engine.is_paused(now_ms);
    let cost = |engine: &KnownEngine| {
        cost_tokens(
            engine,
            requirements,
            version_bounds,
            memory_tokens,
            settings,
            home,
            now_ms,
        )
    };
    let cheapest = |a: &&KnownEngine, b: &&KnownEngine| {
        let jittered = |engine: &KnownEngine| {
            cost(engine) + jitter(draw, &engine.entry.incarnation.id) * settings.jitter_tokens
        };
        jittered(a).total_cmp(&jittered(b))
    };
    let is_paced = engines.clone().any(|engine| engine.pace.is_told());
    let has_cached = |engine: &&KnownEngine| {
        let part = requirements.shared_part();
        part.is_some_and(|part| engine.has_cached(part, settings.retention_ms, now_ms))
    };
    let cheapest_candidate = |is_permitted: &dyn Fn(&&'a KnownEngine) -> bool| {
        let permitted = engines.clone().filter(is_permitted);
        let sampled = if is_paced {
            sample_by_speed(permitted.clone(), settings.sampled_engines, draw, now_ms)
        } else {
            sample(permitted.clone(), settings.sampled_engines, draw)
        };
        let is_candidate = |engine: &&KnownEngine| {
            let id = engine.entry.incarnation.id.as_str();
            requirements.model.is_none()
                || home == Some(id)
                || sampled.contains(&id)
                || has_cached(engine)
        };
        permitted.filter(is_candidate).min_by(cheapest)
    };
    if is_paced && requirements.model.is_none() {
        let available = engines.clone().filter(available);
        let other_cost =
            |engine: &KnownEngine| other_cost_tokens(engine, requirements, settings, now_ms);
        let drawn = draw_by_free_speed(available, other_cost, draw, now_ms);
        if drawn.is_some() {
            return drawn;
        }
    }
    if is_paced && settings.newest_within_tokens > 0.0 {
        let is_newest = |engine: &KnownEngine| version(engine) >= version_bounds.min_preferred;
        let available = |engine: &&KnownEngine| available(engine);
        let share = speed_share(engines.clone().filter(available), is_newest, now_ms);
        let answers_in_time = |engine: &KnownEngine| {
            !is_full(engine, requirements, memory_tokens)
                && !engine.health.is_suspect(&settings.health, now_ms)
                && tokens_until_first_event(engine, requirements, settings, now_ms)
                    <= settings.newest_within_tokens
        };
        if share < 1.0 && uniform(draw) < share * settings.newest_share_factor {
            let newest = cheapest_candidate(&|engine| {
                available(engine) && is_newest(engine) && answers_in_time(engine)
            });
            if newest.is_some() {
                return newest;
            }
        }
    }
    cheapest_candidate(&|engine| available(engine))
        .or_else(|| engines.clone().filter(usable).min_by(cheapest))
        .or_else(|| engines.clone().filter(reported_only).min_by(cheapest))
}

/// Returns the names of `count` engines, different ones for each draw.
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

/// Returns a pseudo-random value from 0 to 1 that depends on engine and draw.
fn jitter(draw: u64, engine: &str) -> f64 {
    (rendezvous(draw, engine) % 1_000) as f64 / 1_000.0
}

/// Returns the cost of an engine apart from its work.
fn other_cost_tokens(
    engine: &KnownEngine,
    requirements: &EngineRequirements,
    settings: &ChoiceSettings,
    now_ms: u64,
) -> f64 {
    let cost = settings.failure_tokens * engine.health.failures(&settings.health, now_ms);
    if engine.entry.domain == requirements.domain {
        return cost;
    }
    cost + settings.other_domain_tokens
}

/// Returns whether an engine has no free slot or no memory for a request.
fn is_full(engine: &KnownEngine, requirements: &EngineRequirements, memory_tokens: u64) -> bool {
    let load = engine.load();
    load.requests >= engine.entry.slots
        || u64::from(load.memory_tokens) + requirements.memory_tokens > memory_tokens
}

/// Returns the prompt tokens that an engine reads until the first event of a request, as if at its
/// usual pace.
fn tokens_until_first_event(
    engine: &KnownEngine,
    requirements: &EngineRequirements,
    settings: &ChoiceSettings,
    now_ms: u64,
) -> f64 {
    let is_cached = requirements
        .shared_part()
        .is_some_and(|part| engine.has_cached(part, settings.retention_ms, now_ms));
    let fetch_tokens = if is_cached {
        0.0
    } else {
        requirements.shared_tokens() as f64 * settings.fetch_cost_ratio
    };
    let tokens = f64::from(engine.load().prefill_tokens) + fetch_tokens + own_tokens(requirements);
    tokens * engine.slowdown(now_ms)
}

/// Returns the prompt tokens that no other request shares, which every engine has to read.
fn own_tokens(requirements: &EngineRequirements) -> f64 {
    let shared_tokens = requirements.shared_tokens();
    requirements.prompt_tokens.saturating_sub(shared_tokens) as f64
}

fn cost_tokens(
    engine: &KnownEngine,
    requirements: &EngineRequirements,
    version_bounds: VersionBounds,
    memory_tokens: u64,
    settings: &ChoiceSettings,
    home: Option<&str>,
    now_ms: u64,
) -> f64 {
    let load = engine.load();
    let mut cost = other_cost_tokens(engine, requirements, settings, now_ms);
    let Some(model) = &requirements.model else {
        let slots = engine.entry.slots.max(1);
        let requests = f64::from(load.requests) / f64::from(slots);
        return cost + REQUEST_TOKENS_WITHOUT_MODEL * requests;
    };
    cost += f64::from(load.prefill_tokens);
    cost += settings.running_tokens * f64::from(load.requests);
    if is_full(engine, requirements, memory_tokens) {
        cost += settings.full_tokens;
    }
    if engine.version(model) < version_bounds.newest {
        cost += settings.old_weights_tokens;
    }
    if engine.version(model) < version_bounds.min_preferred {
        cost += settings.overdue_weights_tokens;
    }
    let is_cached = requirements
        .shared_part()
        .is_some_and(|part| engine.has_cached(part, settings.retention_ms, now_ms));
    let mut unread_tokens = requirements.prompt_tokens;
    let mut fetch_tokens = 0.0;
    if is_cached {
        unread_tokens = unread_tokens.saturating_sub(requirements.shared_tokens());
    } else {
        fetch_tokens = requirements.shared_tokens() as f64 * settings.fetch_cost_ratio;
        cost += fetch_tokens;
    }
    let delay_tokens = unread_tokens as f64 * f64::from(load.requests) * settings.delay_ratio;
    cost += delay_tokens;
    // All work takes longer at a slow engine, also that of the request itself, which otherwise
    // costs the same everywhere.
    let work_tokens = f64::from(load.prefill_tokens)
        + settings.running_tokens * f64::from(load.requests)
        + fetch_tokens
        + delay_tokens
        + own_tokens(requirements);
    cost += work_tokens * (engine.slowdown(now_ms) - 1.0);
    if home == Some(engine.entry.incarnation.id.as_str()) {
        cost -= settings.home_tokens;
    }
    cost
}
