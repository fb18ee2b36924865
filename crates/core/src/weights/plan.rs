/// Pace of a change of weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlanSettings {
    /// Engines of a model that are changed at once. Loading is slower while
    /// more than two or three load, but an engine first finishes what runs,
    /// so about half of those that have an order are loading.
    pub at_once: usize,
    /// Part of a model's engines that may be away at once, one in so many.
    pub one_in: usize,
    /// Time between keeping new work away and the order. A heartbeat leaves at
    /// once for it; by then all instances know.
    pub steer_ms: u64,
}

impl Default for PlanSettings {
    fn default() -> PlanSettings {
        PlanSettings {
            at_once: 8,
            one_in: 2,
            steer_ms: 100,
        }
    }
}

/// One engine that lacks the newest weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Turn {
    /// The engine.
    pub engine: String,
    /// When work began to be kept away; `None` if it isn't.
    pub steered_since_ms: Option<u64>,
    /// Whether its order was sent and isn't done.
    pub is_ordered: bool,
    /// Requests that run there, by all that is known.
    pub requests: u32,
    /// Whether the engine answers.
    pub answers: bool,
}

/// What to do with an engine now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Keep new work away.
    Steer(String),
    /// Send the order.
    Order(String),
}

/// Returns the next steps for one model.
///
/// Engines with the least running go first: they are done soonest, and what
/// runs elsewhere meanwhile finishes.
pub fn plan(turns: &[Turn], engines: usize, settings: &PlanSettings, now_ms: u64) -> Vec<Step> {
    let most = (engines / settings.one_in.max(1)).clamp(1, settings.at_once);
    let mut steps = Vec::new();
    let mut away = turns
        .iter()
        .filter(|turn| turn.is_ordered || turn.steered_since_ms.is_some())
        .filter(|turn| turn.answers)
        .count();
    for turn in turns.iter().filter(|turn| !turn.is_ordered) {
        let Some(since_ms) = turn.steered_since_ms else {
            continue;
        };
        if now_ms >= since_ms + settings.steer_ms || turn.requests == 0 {
            steps.push(Step::Order(turn.engine.clone()));
        }
    }
    let mut next: Vec<&Turn> = turns
        .iter()
        .filter(|turn| !turn.is_ordered && turn.steered_since_ms.is_none())
        .collect();
    next.sort_by(|a, b| (!a.answers, a.requests, &a.engine).cmp(&(!b.answers, b.requests, &b.engine)));
    for turn in next {
        if away >= most {
            break;
        }
        steps.push(Step::Steer(turn.engine.clone()));
        away += 1;
    }
    steps
}
