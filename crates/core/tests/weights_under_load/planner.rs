use {
    super::{day::Day, engine::Engine},
    mangowalk_core::weights::{
        FinishedLoad, LoadBounds, LoadConcurrency, LoadingPlaces, ModelLoad, OutdatedEngine,
        PlanSettings, RollingSettings, Step, WeightsSettings, plan, plan_rolling,
    },
};

/// Bounds with `VersionMs` of 8,000.
pub(super) const SHORT_BOUNDS: WeightsSettings = WeightsSettings {
    penalty_after_ms: 1_300,
    dispatch_until_ms: 6_800,
    start_until_ms: 7_700,
    unknown_age_grace_ms: 2_600,
};

/// Bounds with `VersionMs` of 20,000, as both deployments have.
pub(super) const LONG_BOUNDS: WeightsSettings = WeightsSettings {
    dispatch_until_ms: 18_800,
    start_until_ms: 19_700,
    ..SHORT_BOUNDS
};

/// Which plan the lease holder uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Plan {
    /// The plan for short loads.
    Short,
    /// The plan for long loads.
    Rolling,
    /// The plan that the measured loads call for.
    Chosen,
}

/// The lease holder, with what it learns of loads.
#[derive(Debug, Clone)]
pub(super) struct Planner {
    pub(super) name: &'static str,
    pub(super) plan: Plan,
    pub(super) weights: WeightsSettings,
    /// Retries that the fleet can spend on streams that are cut off.
    pub(super) max_cut_requests: u32,
    pub(super) rolling: RollingSettings,
    pub(super) loads: LoadConcurrency,
    pub(super) places: LoadingPlaces,
}

impl Planner {
    pub(super) fn new(name: &'static str, plan: Plan) -> Planner {
        Planner {
            name,
            plan,
            weights: LONG_BOUNDS,
            max_cut_requests: 40,
            rolling: RollingSettings::default(),
            loads: LoadConcurrency::default(),
            places: LoadingPlaces::default(),
        }
    }

    fn within_ms(&self) -> u64 {
        let share = PlanSettings::default().load_time_fraction;
        (self.weights.dispatch_until_ms as f64 * share) as u64
    }

    pub(super) fn record_load(&mut self, load: &FinishedLoad, engines: usize) {
        let within_ms = self.within_ms();
        self.loads
            .record_load(load.ended_ms - load.ordered_ms, load.concurrent);
        self.places
            .record_load(load, engines, within_ms, &self.weights);
    }

    pub(super) fn steps(
        &self,
        engines: &[Engine],
        newest: u64,
        day: &Day,
        now_ms: u64,
    ) -> Vec<Step> {
        let outdated: Vec<OutdatedEngine> = engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.known_version < newest && !engine.is_lost)
            .map(|(index, engine)| outdated_engine(index, engine))
            .collect();
        let unread_tokens: f64 = engines.iter().map(|engine| engine.known.2).sum();
        let load = ModelLoad {
            engines: engines.iter().filter(|engine| !engine.is_lost).count(),
            slots: day.slots,
            requests: engines.iter().map(|engine| engine.known.0).sum(),
            unread_ms: unread_tokens / day.tokens_per_ms,
        };
        let is_rolling = match self.plan {
            Plan::Short => false,
            Plan::Rolling => true,
            Plan::Chosen => self.places.is_long(&self.weights),
        };
        match is_rolling {
            true => self.rolling_steps(&outdated, &load, now_ms),
            false => self.short_steps(&outdated, &load, now_ms),
        }
    }

    fn short_steps(&self, outdated: &[OutdatedEngine], load: &ModelLoad, now_ms: u64) -> Vec<Step> {
        plan(
            outdated,
            load.engines,
            load.requests,
            self.loads.limit(load.engines, self.within_ms()),
            self.max_cut_requests,
            &PlanSettings::default(),
            now_ms,
        )
    }

    fn rolling_steps(
        &self,
        outdated: &[OutdatedEngine],
        load: &ModelLoad,
        now_ms: u64,
    ) -> Vec<Step> {
        let within_ms = self.within_ms();
        let places = &self.places;
        let bounds = LoadBounds {
            max_loading: places.limit(load.engines, within_ms, &self.weights),
            required: places.required(load.engines, within_ms, &self.weights),
            expected_load_ms: places.expected_load_ms(&self.weights),
            expected_end_ms: places.expected_end_ms(&self.weights),
        };
        plan_rolling(
            outdated,
            load,
            &bounds,
            self.max_cut_requests,
            &self.rolling,
            now_ms,
        )
    }
}

fn outdated_engine(index: usize, engine: &Engine) -> OutdatedEngine {
    OutdatedEngine {
        id: index.to_string(),
        paused_since_ms: engine.paused_since_ms.filter(|_| engine.order.is_none()),
        has_pending_order: engine.order.is_some(),
        ordered_ms: engine.order.map(|(_, since_ms)| since_ms),
        version: engine.known_version,
        requests: engine.known.0,
        must_finish: engine.known.1,
        is_responsive: true,
    }
}
