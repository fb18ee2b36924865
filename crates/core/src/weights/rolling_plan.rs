use super::{OutdatedEngine, PlanSettings, Step};

/// Limits for changes whose loads take long; see
/// [`super::LoadingPlaces::is_long`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RollingSettings {
    /// Whether changes whose loads take long are planned by these settings. Otherwise they are
    /// planned like those with short loads.
    pub plans_long_loads: bool,
    /// Times between the pause of an engine and its order.
    pub plan: PlanSettings,
    /// Mean time in milliseconds that an available engine may need to read the
    /// prompts waiting there. A sixth of the strictest target of callers, as
    /// single engines have several times the mean.
    pub max_unread_ms: f64,
    /// Share of an available engine's slots that may be in use in the mean.
    pub max_slot_share: f64,
    /// Share of the engines that aren't needed up to which further ones are
    /// paused. Between it and 1, paused engines stay as they are, as their number
    /// would otherwise change with each heartbeat.
    pub pause_up_to: f64,
    /// Time in milliseconds by which an engine is paused before its loading place
    /// comes free: a heartbeat to all instances, a short answer, and the heartbeat
    /// that reports its end.
    pub finish_ahead_ms: u64,
    /// Time in milliseconds after its pause from which running requests are cut off
    /// and resumed on other engines. Most answers end before, and don't use retries.
    pub move_after_ms: u64,
    /// Time in milliseconds from the end of a load to the report on it. Places of
    /// loads that should have ended are given away for this long.
    pub report_lag_ms: u64,
    /// One in this many engines has to stay available at any load.
    pub min_available_divisor: usize,
}

impl Default for RollingSettings {
    fn default() -> RollingSettings {
        RollingSettings {
            plans_long_loads: false,
            plan: PlanSettings {
                // Peers report one heartbeat (200 ms) late what they sent before
                // they heard of the pause.
                min_pause_ms: 240,
                ..PlanSettings::default()
            },
            max_unread_ms: 50.0,
            max_slot_share: 0.25,
            pause_up_to: 0.9,
            finish_ahead_ms: 600,
            move_after_ms: 600,
            report_lag_ms: 270,
            min_available_divisor: 4,
        }
    }
}

/// Known work of a model's engines.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ModelLoad {
    /// Number of responsive engines.
    pub engines: usize,
    /// Slots of one engine.
    pub slots: u32,
    /// Requests at all engines.
    pub requests: u32,
    /// Time in milliseconds that one engine would need to read all unread prompts.
    pub unread_ms: f64,
}

impl ModelLoad {
    /// Returns how many engines have to stay available for this work.
    fn needed_engines(&self, settings: &RollingSettings) -> usize {
        let by_slots =
            f64::from(self.requests) / (f64::from(self.slots.max(1)) * settings.max_slot_share);
        let by_reading = self.unread_ms / settings.max_unread_ms.max(1.0);
        let at_least = self.engines.div_ceil(settings.min_available_divisor.max(1));
        (by_slots.max(by_reading).ceil() as usize).max(at_least)
    }
}

/// How many engines may and must load concurrently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadBounds {
    /// Limit of concurrent loads.
    pub max_loading: usize,
    /// Concurrent loads with which the change finishes in time. As many engines
    /// may be unavailable at any load.
    pub required: usize,
    /// Expected duration of a load in milliseconds.
    pub expected_load_ms: u64,
    /// Duration in milliseconds after which a load that is under way should have
    /// ended.
    pub expected_end_ms: u64,
}

/// Returns the next steps of a change whose loads take long.
///
/// Addresses versions that are named 10 s apart for 60 to 90 engines, at loads
/// from a tenth of the capacity to all of it. Like [`super::plan`], but
///
/// - the number of available engines follows from the work at hand. Once an engine
///   has the new weights, all others that aren't needed are paused, as answers on
///   older weights are worth less; they are resumed when the work grows.
/// - engines are paused in time to be empty when a loading place comes free.
/// - a place is given away when its load should have ended, before the report.
pub fn plan_rolling(
    outdated: &[OutdatedEngine],
    load: &ModelLoad,
    bounds: &LoadBounds,
    mut max_cut_requests: u32,
    settings: &RollingSettings,
    now_ms: u64,
) -> Vec<Step> {
    let spare = load.engines.saturating_sub(load.needed_engines(settings));
    let max_unavailable = spare.max(bounds.required).max(1);
    let max_loading = bounds.max_loading.min(max_unavailable);
    let mut steps = Vec::new();
    let mut loading = occupied_places(outdated, bounds, settings, now_ms);
    for engine in ready_engines(outdated, settings, now_ms) {
        // Unresponsive engines don't count against the limit of concurrent loads.
        if engine.is_responsive && loading >= max_loading {
            break;
        }
        let cut = engine.must_finish == 0 && engine.requests <= max_cut_requests;
        if !cut && !has_waited(engine, &settings.plan, now_ms) {
            continue;
        }
        max_cut_requests -= if cut { engine.requests } else { 0 };
        steps.push(Step::Order {
            engine: engine.id.clone(),
            cut,
        });
        loading += usize::from(engine.is_responsive);
    }
    let ahead = places_ahead(max_loading, bounds, settings);
    let is_ordered = |engine: &OutdatedEngine| {
        let mut steps = steps.iter();
        engine.has_pending_order || steps.any(|step| step.engine() == engine.id)
    };
    let (ordered, waiting): (Vec<_>, Vec<_>) =
        outdated.iter().partition(|engine| is_ordered(engine));
    let ordered = ordered.iter().filter(|engine| engine.is_responsive).count();
    let has_new = outdated.iter().filter(|e| e.is_responsive).count() < load.engines;
    let wanted = match has_new {
        true => max_unavailable,
        false => max_unavailable.min(max_loading + ahead),
    };
    let change = PauseChange {
        wanted: wanted.saturating_sub(ordered),
        keep: wanted.max(max_loading + ahead).min(max_unavailable),
        pause_up_to: settings.pause_up_to,
        ordered,
    };
    steps.extend(change.steps(&waiting));
    steps
}

/// How many engines are to be paused besides those that have orders.
struct PauseChange {
    wanted: usize,
    /// Number of unavailable engines above which paused ones are resumed.
    keep: usize,
    pause_up_to: f64,
    ordered: usize,
}

impl PauseChange {
    fn steps(&self, waiting: &[&OutdatedEngine]) -> Vec<Step> {
        let mut paused: Vec<&OutdatedEngine> = waiting
            .iter()
            .copied()
            .filter(|engine| engine.paused_since_ms.is_some() && engine.is_responsive)
            .collect();
        let excess = (self.ordered + paused.len()).saturating_sub(self.keep);
        if excess > 0 {
            paused.sort_by_key(|engine| std::cmp::Reverse((engine.version, engine.requests)));
            let resumed = paused.into_iter().take(excess);
            return resumed
                .map(|engine| Step::Resume(engine.id.clone()))
                .collect();
        }
        let pause_up_to = (self.wanted as f64 * self.pause_up_to).ceil() as usize;
        let mut next: Vec<&OutdatedEngine> = waiting
            .iter()
            .copied()
            .filter(|engine| engine.paused_since_ms.is_none())
            .collect();
        next.sort_by_key(|engine| (!engine.is_responsive, engine.version, engine.requests));
        next.into_iter()
            .take(pause_up_to.saturating_sub(paused.len()))
            .map(|engine| Step::Pause(engine.id.clone()))
            .collect()
    }
}

/// Returns the number of loading places that are in use.
///
/// A load that should have ended leaves its place for as long as its report may
/// lag; without a report by then it is slow and holds the place again. Half of the
/// places are held in any case, as a wave of slow loads would be doubled otherwise.
fn occupied_places(
    outdated: &[OutdatedEngine],
    bounds: &LoadBounds,
    settings: &RollingSettings,
    now_ms: u64,
) -> usize {
    let pending = outdated
        .iter()
        .filter(|engine| engine.is_responsive && engine.has_pending_order);
    let unreported = bounds.expected_end_ms..bounds.expected_end_ms + settings.report_lag_ms;
    let ended = pending.clone().filter(|engine| {
        let ordered_ms = engine.ordered_ms.unwrap_or(now_ms);
        unreported.contains(&now_ms.saturating_sub(ordered_ms))
    });
    pending.count() - ended.count().min(bounds.max_loading.div_ceil(2))
}

/// Returns how many engines are paused beyond those that load, so that they are
/// empty when places come free.
fn places_ahead(max_loading: usize, bounds: &LoadBounds, settings: &RollingSettings) -> usize {
    let share = settings.finish_ahead_ms as f64 / bounds.expected_load_ms.max(1) as f64;
    (max_loading as f64 * share).ceil() as usize
}

/// Returns whether an engine has finished its requests for as long as it may.
fn has_waited(engine: &OutdatedEngine, settings: &PlanSettings, now_ms: u64) -> bool {
    let paused_ms = engine.paused_since_ms;
    paused_ms.is_some_and(|paused_ms| now_ms >= paused_ms + settings.max_finish_ms)
}

/// Returns the paused engines that can be given an order, in its sequence.
fn ready_engines<'a>(
    outdated: &'a [OutdatedEngine],
    settings: &RollingSettings,
    now_ms: u64,
) -> Vec<&'a OutdatedEngine> {
    let is_ready = |engine: &&OutdatedEngine| {
        let Some(since_ms) = engine.paused_since_ms else {
            return false;
        };
        let wait_ms = match engine.requests {
            0 => settings.plan.min_pause_ms,
            _ => settings.move_after_ms.max(settings.plan.min_pause_ms),
        };
        (engine.must_finish == 0 && now_ms >= since_ms + wait_ms)
            || has_waited(engine, &settings.plan, now_ms)
    };
    let mut ready: Vec<&OutdatedEngine> = outdated
        .iter()
        .filter(|engine| !engine.has_pending_order)
        .filter(is_ready)
        .collect();
    ready.sort_by_key(|engine| {
        (
            !engine.is_responsive,
            engine.version,
            engine.requests,
            engine.paused_since_ms,
        )
    });
    ready
}
