/// Pace of a change of weights.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanSettings {
    /// Part of a model's engines that may be away at once while they have
    /// little to do, one in so many. Those that don't load yet finish what
    /// runs there.
    pub max_unavailable_divisor: usize,
    /// Part that is away at once however busy the others are: each takes a
    /// while to finish what runs there, and all have to be through in time.
    pub min_unavailable_divisor: usize,
    /// Part of the time for which old weights may be used, within which all
    /// loads have to fit. The rest is for finishing what runs, and for trouble.
    pub load_time_fraction: f64,
    /// Requests an engine up to which it has little to do.
    pub low_load_requests: f64,
    /// Requests an engine from which on only those that load are away; each
    /// further one would overload the rest.
    pub high_load_requests: f64,
    /// Shortest time between keeping new work away and the order. A heartbeat
    /// leaves at once for it; by then all instances know.
    pub min_steer_ms: u64,
    /// Longest time for which an engine may finish what can't go on elsewhere
    /// before it gets its order. With the order it would finish everything
    /// else as well, which takes streams up to four seconds, and refuse what
    /// it has queued.
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
            min_steer_ms: 100,
            max_finish_ms: 2_500,
        }
    }
}

/// One engine that lacks the newest weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutdatedEngine {
    /// The engine.
    pub id: String,
    /// When work began to be kept away; `None` if it isn't.
    pub steered_since_ms: Option<u64>,
    /// Whether its order was sent and isn't done.
    pub has_pending_order: bool,
    /// Weights that it has.
    pub version: u64,
    /// Requests that run there, by all that is known.
    pub requests: u32,
    /// Those of them that can't go on elsewhere.
    pub must_finish: u32,
    /// Whether the engine answers.
    pub is_responsive: bool,
}

/// What to do with an engine now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Keep new work away.
    Steer(String),
    /// Send the order. What runs is cut off if it says so, and goes on at
    /// other engines; else the engine finishes it first.
    Order {
        /// The engine.
        engine: String,
        /// Whether what runs is cut off.
        cut: bool,
    },
}

/// Returns the next steps for one model, of which so many engines answer, with
/// so many requests, and so many may load at once; so many requests may be cut
/// off.
///
/// Engines with the oldest weights go first, as requests there are worth the
/// least; among them those with the least running, which are done soonest.
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
    // One that still finishes what runs there doesn't load yet.
    let mut loading = outdated
        .iter()
        .filter(|engine| engine.has_pending_order && engine.is_responsive && engine.requests == 0)
        .count();
    let mut ready: Vec<(&OutdatedEngine, u64)> = outdated
        .iter()
        .filter(|engine| !engine.has_pending_order)
        .filter_map(|engine| Some((engine, engine.steered_since_ms?)))
        .filter(|(engine, since_ms)| {
            let finished = engine.must_finish == 0 && now_ms >= since_ms + settings.min_steer_ms;
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
        // One that doesn't answer takes no place from those that do.
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
        .filter(|engine| engine.has_pending_order || engine.steered_since_ms.is_some())
        .filter(|engine| engine.is_responsive)
        .count();
    let mut next: Vec<&OutdatedEngine> = outdated
        .iter()
        .filter(|engine| !engine.has_pending_order && engine.steered_since_ms.is_none())
        .collect();
    next.sort_by_key(|engine| (!engine.is_responsive, engine.version, engine.requests));
    for engine in next.into_iter().take(limit.saturating_sub(unavailable)) {
        steps.push(Step::Steer(engine.id.clone()));
    }
    steps
}

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
