use crate::engine::EngineState;

/// Former incarnations that are remembered per engine.
const MAX_RETIRED_INCARNATIONS: usize = 4;

/// Weight of one sample while the measured slowness rises.
const SLOWER_WEIGHT: f64 = 0.4;

/// Weight of one sample while the measured slowness falls.
const FASTER_WEIGHT: f64 = 0.1;

/// Half-life of the slowness of an engine. It decays without samples, so that
/// an engine that gets no work is tried again.
const SLOWNESS_HALF_LIFE_MS: f64 = 4_000.0;

/// Maximum factor of slowness.
const MAX_SLOWNESS: f64 = 50.0;

/// Slots of an engine per request that may queue inside it. With many slots,
/// one is free soon; with few, the request would wait long in the engine, where
/// neither fair queueing nor the withdrawal of an API key can stop it.
const SLOTS_PER_QUEUED_REQUEST: u32 = 8;

/// Share of used slots below which an engine has slots to spare.
const SPARE_SLOTS_BELOW: f64 = 0.7;

/// Lower bound on the expected time to first token in the measurement of
/// slowness. Below it, network jitter would count as slowness.
const MIN_EXPECTED_MS: f64 = 20.0;

/// Maximum time for which an engine is assumed to keep unused blocks in its
/// cache, and the initial value until its answers correct it.
const MAX_RETENTION_MS: f64 = 30_000.0;

/// Lower bound on the estimate of the same time.
const MIN_RETENTION_MS: f64 = 500.0;

/// Name, model and location of an engine, from its record.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Name of the record.
    pub name: String,
    /// Model that the record names.
    pub model: String,
    /// Whether the engine is in the failure domain of this instance.
    pub in_same_domain: bool,
    /// Whether the engine is departing and gets no new work.
    pub departing: bool,
}

/// Known state of one engine.
#[derive(Debug, Clone)]
pub(super) struct TrackedEngine {
    pub(super) spec: EngineSpec,
    pub(super) generation: u32,
    pub(super) state: Option<EngineState>,
    /// Running attempts of this instance at the engine.
    pub(super) in_flight: u32,
    /// Attempts of this instance that were sent since the last report, minus
    /// those that ended. The report does not count them yet.
    pub(super) since_report: i32,
    /// Expected prefill time of the attempts of this instance that have no
    /// first token yet.
    pub(super) backlog_ms: f64,
    /// Attempts of this instance without a first token.
    pub(super) pending: u32,
    /// Sequence number of the last request that this instance sent to the
    /// engine.
    pub(super) last_sent: u64,
    reachable: bool,
    retired_incarnations: Vec<u64>,
    slowness: f64,
    slowness_ms: u64,
    retention_ms: f64,
}

impl TrackedEngine {
    pub(super) fn new(spec: EngineSpec, generation: u32) -> TrackedEngine {
        TrackedEngine {
            spec,
            generation,
            state: None,
            in_flight: 0,
            since_report: 0,
            backlog_ms: 0.0,
            pending: 0,
            last_sent: 0,
            reachable: false,
            retired_incarnations: Vec::new(),
            slowness: 1.0,
            slowness_ms: 0,
            retention_ms: MAX_RETENTION_MS,
        }
    }

    /// Applies a load report and returns whether the engine has restarted. A
    /// report of a former incarnation is ignored: it was in transit when the
    /// engine crashed, and the cache of that incarnation is gone.
    pub(super) fn report(&mut self, state: &EngineState) -> bool {
        if self.retired_incarnations.contains(&state.incarnation) {
            return false;
        }
        let before = self.state.as_ref().map(|s| s.incarnation);
        let restarted = before.is_some_and(|b| b != state.incarnation);
        if restarted {
            self.retire(before.unwrap_or_default());
        }
        self.since_report = 0;
        self.reachable = true;
        self.state = Some(state.clone());
        restarted
    }

    fn retire(&mut self, incarnation: u64) {
        if self.retired_incarnations.len() >= MAX_RETIRED_INCARNATIONS {
            self.retired_incarnations.remove(0);
        }
        self.retired_incarnations.push(incarnation);
        self.generation += 1;
        self.retention_ms = MAX_RETENTION_MS;
        self.slowness = 1.0;
    }

    /// Records that the engine did not answer. Its incarnation is kept, so that
    /// the known cache contents apply again if the same incarnation answers
    /// later.
    pub(super) fn mark_unreachable(&mut self) {
        self.reachable = false;
    }

    /// Returns the model and weights version that the engine serves; `None`
    /// while it is loading, unreachable, or serves another model than its
    /// record says.
    pub(super) fn served(&self) -> Option<(String, String)> {
        let state = self
            .state
            .as_ref()
            .filter(|s| self.reachable && !s.loading)?;
        (state.model == self.spec.model).then(|| (state.model.clone(), state.version.clone()))
    }

    /// Returns whether the engine can take requests for a model and version.
    pub(super) fn serves(&self, model: &str, version: &str) -> bool {
        let fits = |s: &EngineState| !s.loading && s.model == model && s.version == version;
        self.reachable
            && !self.spec.departing
            && self.spec.model == model
            && self.state.as_ref().is_some_and(fits)
    }

    /// Returns the estimated number of requests at the engine, running and
    /// waiting.
    pub(super) fn occupancy(&self) -> u32 {
        let reported = self.reported();
        reported
            .saturating_add_signed(self.since_report)
            .max(self.in_flight)
    }

    fn reported(&self) -> u32 {
        let load = self.state.as_ref().map(|s| s.load);
        load.map_or(0, |l| l.running + l.waiting)
    }

    pub(super) fn slots(&self) -> u32 {
        self.state.as_ref().map_or(1, |s| s.load.slots.max(1))
    }

    pub(super) fn waiting(&self) -> u32 {
        self.state.as_ref().map_or(0, |s| s.load.waiting)
    }

    /// Returns the estimated wait of a new request before its prefill begins.
    ///
    /// The pending prefill of this instance is known. That of other instances
    /// is estimated from the number of waiting requests in the last report.
    pub(super) fn wait_ms(&self, service_ms: f64, prefill_ms: f64) -> f64 {
        let over = (self.occupancy() + 1).saturating_sub(self.slots());
        let slot_ms = f64::from(over) * service_ms / f64::from(self.slots());
        let others = self.waiting().saturating_sub(self.pending);
        slot_ms + self.backlog_ms + f64::from(others) * prefill_ms
    }

    /// Returns a value from 0 (slots to spare) to 1 (all slots used). On an
    /// engine with slots to spare, a prefill delays no queued request.
    pub(super) fn fullness(&self) -> f64 {
        let used = f64::from(self.occupancy()) / f64::from(self.slots());
        ((used - SPARE_SLOTS_BELOW) / (1.0 - SPARE_SLOTS_BELOW)).clamp(0.0, 1.0)
    }

    /// Returns whether this instance may send one more request.
    ///
    /// It may always use its share of the slots, whatever the report says: a
    /// report is up to a second old, and a slot freed by a request of this
    /// instance would idle until the next report. Beyond the share, the free
    /// slots are divided among the instances: all of them see the same report
    /// and would otherwise fill the same slots several times over.
    pub(super) fn has_room(&self, instances: u32, ahead: u32) -> bool {
        let share = (self.slots() / instances.max(1)).max(1);
        let ahead = ahead.min(self.slots() / SLOTS_PER_QUEUED_REQUEST);
        if self.in_flight < share + ahead {
            return true;
        }
        let free = self.slots().saturating_sub(self.reported());
        let share = free.div_ceil(instances.max(1));
        self.since_report < share as i32 && self.occupancy() < self.slots()
    }

    /// Records that the prefill of an attempt of this instance has ended.
    pub(super) fn prefill_finished(&mut self, prefill_ms: f64) {
        self.pending = self.pending.saturating_sub(1);
        self.backlog_ms = (self.backlog_ms - prefill_ms).max(0.0);
    }

    /// Updates the slowness from a measured time to first token and the
    /// expected one.
    pub(super) fn observe_first_token(&mut self, expected_ms: f64, seen_ms: f64, now_ms: u64) {
        let ratio = (seen_ms / expected_ms.max(MIN_EXPECTED_MS)).clamp(1.0, MAX_SLOWNESS);
        let held = self.slowness(now_ms);
        let weight = if ratio > held {
            SLOWER_WEIGHT
        } else {
            FASTER_WEIGHT
        };
        self.slowness = held + (ratio - held) * weight;
        self.slowness_ms = now_ms;
    }

    /// Returns the factor by which the engine is slower than expected, at least
    /// 1.
    pub(super) fn slowness(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.slowness_ms) as f64;
        1.0 + (self.slowness - 1.0) * (-elapsed_ms / SLOWNESS_HALF_LIFE_MS).exp2()
    }

    /// Returns whether blocks that were last used `age_ms` ago are assumed to
    /// be cached.
    pub(super) fn retains(&self, age_ms: u64) -> bool {
        (age_ms as f64) <= self.retention_ms
    }

    /// Updates the estimate of how long the engine keeps unused blocks. Engines
    /// evict the least recently used blocks first, so one missing prefix means
    /// that all prefixes used before it are gone too.
    pub(super) fn observe_retention(&mut self, age_ms: u64, found: bool) {
        let age_ms = age_ms as f64;
        self.retention_ms = if found {
            self.retention_ms.max(age_ms) * 1.02
        } else {
            self.retention_ms.min(age_ms)
        }
        .clamp(MIN_RETENTION_MS, MAX_RETENTION_MS);
    }
}
