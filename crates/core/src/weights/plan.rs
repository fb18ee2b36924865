/// Limits for updating a model's engines to new weights.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanSettings {
    /// One in this many engines of a model may be unavailable (paused, ordered
    /// or loading) at the same time under low load. Those that don't load yet
    /// finish their running requests.
    pub max_unavailable_divisor: usize,
    /// One in this many engines may be unavailable at any load. Each needs time
    /// to finish its running requests, and all have to be updated in time.
    pub min_unavailable_divisor: usize,
    /// Fraction of the time for which old weights may be used, within which all
    /// loads have to fit. The rest is for finishing running requests and for
    /// failures.
    pub load_time_fraction: f64,
    /// Mean number of requests per engine up to which the load is low.
    pub low_load_requests: f64,
    /// Mean number of requests per engine from which only loading engines and
    /// the `min_unavailable_divisor` share are unavailable; each further one
    /// would overload the rest.
    pub high_load_requests: f64,
    /// Minimum time, in milliseconds, between pausing new requests to an engine
    /// and its order. A heartbeat is sent at once, so that all instances know by
    /// then.
    pub min_pause_ms: u64,
    /// Maximum time, in milliseconds, for which an engine finishes requests that
    /// can't be resumed elsewhere before it gets its order. An order without
    /// cutting off makes it finish all other requests too, which takes up to
    /// four seconds for streams, and refuse its queued ones.
    pub max_finish_ms: u64,
}

impl Default for PlanSettings {
    fn default() -> PlanSettings {
        PlanSettings {
            max_unavailable_divisor: 2,
            min_unavailable_divisor: 4,
            load_time_fraction: 0.6,
            low_load_requests: 2.5,
            high_load_requests: 5.0,
            min_pause_ms: 100,
            max_finish_ms: 2_500,
        }
    }
}

/// State of an engine that lacks the newest weights of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutdatedEngine {
    /// ID of the engine.
    pub id: String,
    /// Since when new requests to the engine are paused, in milliseconds; `None`
    /// if they are not.
    pub paused_since_ms: Option<u64>,
    /// Whether an order was sent and is not completed yet.
    pub has_pending_order: bool,
    /// When the engine accepted the order, in milliseconds; `None` without one.
    pub ordered_ms: Option<u64>,
    /// Version of the weights that it serves.
    pub version: u64,
    /// Requests at the engine, as estimated by this instance.
    pub requests: u32,
    /// Number of these requests that can't be resumed on another engine.
    pub must_finish: u32,
    /// Whether the engine answers calls.
    pub is_responsive: bool,
}

/// Next step for one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Pause new requests to the engine with this ID.
    Pause(String),
    /// Send new requests to the engine with this ID again, which was paused.
    Resume(String),
    /// Send the order to load the newest weights.
    Order {
        /// ID of the engine.
        engine: String,
        /// Whether running requests are cut off and resumed on other engines;
        /// otherwise the engine finishes them first.
        cut: bool,
    },
}

impl Step {
    /// Returns the ID of the engine that the step is about.
    pub fn engine(&self) -> &str {
        match self {
            Step::Pause(engine) | Step::Resume(engine) | Step::Order { engine, .. } => engine,
        }
    }
}

/// Returns the next steps to update a model's engines.
///
/// `engine_count` is the number of the model's responsive engines, `requests`
/// the number of requests at them, `max_loading` the limit of concurrent loads,
/// and `max_cut_requests` the number of running requests that may be cut off.
///
/// Engines with the oldest weights go first, because answers by them have the
/// least value; among these, the ones with the fewest requests, because they
/// finish soonest.
pub fn plan(
    outdated: &[OutdatedEngine],
    engine_count: usize,
    requests: u32,
    max_loading: usize,
    mut max_cut_requests: u32,
    settings: &PlanSettings,
    now_ms: u64,
) -> Vec<Step> {
    let mut steps = Vec::new();
    // An ordered engine that still finishes requests is not loading yet.
    let mut loading = outdated
        .iter()
        .filter(|engine| engine.has_pending_order && engine.is_responsive && engine.requests == 0)
        .count();
    let mut ready: Vec<(&OutdatedEngine, u64)> = outdated
        .iter()
        .filter(|engine| !engine.has_pending_order)
        .filter_map(|engine| Some((engine, engine.paused_since_ms?)))
        .filter(|(engine, since_ms)| {
            let finished = engine.must_finish == 0 && now_ms >= since_ms + settings.min_pause_ms;
            finished || now_ms >= since_ms + settings.max_finish_ms
        })
        .collect();
    ready.sort_by_key(|(engine, since_ms)| {
        (
            !engine.is_responsive,
            engine.version,
            engine.requests,
            *since_ms,
        )
    });
    for (engine, _) in ready {
        // Unresponsive engines don't count against the limit of concurrent loads.
        if engine.is_responsive && loading >= max_loading {
            break;
        }
        let cut = engine.must_finish == 0 && engine.requests <= max_cut_requests;
        max_cut_requests -= if cut { engine.requests } else { 0 };
        steps.push(Step::Order {
            engine: engine.id.clone(),
            cut,
        });
        loading += usize::from(engine.is_responsive);
    }
    let limit = max_unavailable(engine_count, max_loading, requests, settings);
    let unavailable = outdated
        .iter()
        .filter(|engine| engine.has_pending_order || engine.paused_since_ms.is_some())
        .filter(|engine| engine.is_responsive)
        .count();
    let mut next: Vec<&OutdatedEngine> = outdated
        .iter()
        .filter(|engine| !engine.has_pending_order && engine.paused_since_ms.is_none())
        .collect();
    next.sort_by_key(|engine| (!engine.is_responsive, engine.version, engine.requests));
    for engine in next.into_iter().take(limit.saturating_sub(unavailable)) {
        steps.push(Step::Pause(engine.id.clone()));
    }
    steps
}

/// Returns how many engines may be unavailable at the same time, interpolated
/// between low and high load.
fn max_unavailable(
    engine_count: usize,
    max_loading: usize,
    requests: u32,
    settings: &PlanSettings,
) -> usize {
    let low_load_max = engine_count / settings.max_unavailable_divisor.max(1);
    let mean = f64::from(requests) / engine_count.max(1) as f64;
    let range = settings.high_load_requests - settings.low_load_requests;
    let load = ((mean - settings.low_load_requests) / range).clamp(0.0, 1.0);
    let spare = low_load_max.saturating_sub(max_loading) as f64 * (1.0 - load);
    let min_unavailable = engine_count.div_ceil(settings.min_unavailable_divisor.max(1));
    (max_loading.min(low_load_max) + spare as usize)
        .max(min_unavailable)
        .max(1)
}
