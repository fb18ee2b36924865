/// Pace of a change of weights.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanSettings {
    /// Part of a model's engines that may be away at once while they have
    /// little to do, one in so many. Those that don't load yet finish what
    /// runs there.
    pub away_one_in: usize,
    /// Part that is away at once however busy the others are: each takes a
    /// while to finish what runs there, and all have to be through in time.
    pub least_one_in: usize,
    /// Part of the time for which old weights may be used, within which all
    /// loads have to fit. The rest is for finishing what runs, and for trouble.
    pub within_part: f64,
    /// Requests an engine up to which it has little to do.
    pub calm_requests: f64,
    /// Requests an engine from which on only those that load are away; each
    /// further one would overload the rest.
    pub full_requests: f64,
    /// Shortest time between keeping new work away and the order. A heartbeat
    /// leaves at once for it; by then all instances know.
    pub steer_ms: u64,
    /// Longest time for which an engine may finish what can't go on elsewhere
    /// before it gets its order. With the order it would finish everything
    /// else as well, which takes streams up to four seconds, and refuse what
    /// it has queued.
    pub finish_ms: u64,
}

impl Default for PlanSettings {
    fn default() -> PlanSettings {
        PlanSettings {
            away_one_in: 2,
            least_one_in: 4,
            within_part: 0.6,
            calm_requests: 2.5,
            full_requests: 5.0,
            steer_ms: 100,
            finish_ms: 2_500,
        }
    }
}

/// One engine that lacks the newest weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutdatedEngine {
    /// The engine.
    pub engine: String,
    /// When work began to be kept away; `None` if it isn't.
    pub steered_since_ms: Option<u64>,
    /// Whether its order was sent and isn't done.
    pub is_ordered: bool,
    /// Weights that it has.
    pub version: u64,
    /// Requests that run there, by all that is known.
    pub requests: u32,
    /// Those of them that can't go on elsewhere.
    pub must_finish: u32,
    /// Whether the engine answers.
    pub answers: bool,
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
    turns: &[OutdatedEngine],
    engines: usize,
    requests: u32,
    at_once: usize,
    mut cuts: u32,
    settings: &PlanSettings,
    now_ms: u64,
) -> Vec<Step> {
    let mut steps = Vec::new();
    // One that still finishes what runs there doesn't load yet.
    let mut loading = turns
        .iter()
        .filter(|turn| turn.is_ordered && turn.answers && turn.requests == 0)
        .count();
    let mut due: Vec<(&OutdatedEngine, u64)> = turns
        .iter()
        .filter(|turn| !turn.is_ordered)
        .filter_map(|turn| Some((turn, turn.steered_since_ms?)))
        .filter(|(turn, since_ms)| {
            let finished = turn.must_finish == 0 && now_ms >= since_ms + settings.steer_ms;
            finished || now_ms >= since_ms + settings.finish_ms
        })
        .collect();
    due.sort_by_key(|(turn, since_ms)| (!turn.answers, turn.version, turn.requests, *since_ms));
    for (turn, _) in due {
        // One that doesn't answer takes no place from those that do.
        if turn.answers && loading >= at_once {
            break;
        }
        let cut = turn.must_finish == 0 && turn.requests <= cuts;
        cuts -= if cut { turn.requests } else { 0 };
        steps.push(Step::Order {
            engine: turn.engine.clone(),
            cut,
        });
        loading += usize::from(turn.answers);
    }
    let most = away_most(engines, at_once, requests, settings);
    let away = turns
        .iter()
        .filter(|turn| turn.is_ordered || turn.steered_since_ms.is_some())
        .filter(|turn| turn.answers)
        .count();
    let mut next: Vec<&OutdatedEngine> = turns
        .iter()
        .filter(|turn| !turn.is_ordered && turn.steered_since_ms.is_none())
        .collect();
    next.sort_by_key(|turn| (!turn.answers, turn.version, turn.requests));
    for turn in next.into_iter().take(most.saturating_sub(away)) {
        steps.push(Step::Steer(turn.engine.clone()));
    }
    steps
}

fn away_most(engines: usize, at_once: usize, requests: u32, settings: &PlanSettings) -> usize {
    let calm = engines / settings.away_one_in.max(1);
    let mean = f64::from(requests) / engines.max(1) as f64;
    let range = settings.full_requests - settings.calm_requests;
    let load = ((mean - settings.calm_requests) / range).clamp(0.0, 1.0);
    let spare = calm.saturating_sub(at_once) as f64 * (1.0 - load);
    let least = engines.div_ceil(settings.least_one_in.max(1));
    (at_once.min(calm) + spare as usize).max(least).max(1)
}
