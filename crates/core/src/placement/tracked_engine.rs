use crate::engine::EngineState;

/// Starts of an engine that are remembered as over.
const MAX_RETIRED_INCARNATIONS: usize = 4;

/// Weight of one observation in the slowness of an engine that gets slower.
const SLOWER_WEIGHT: f64 = 0.4;

/// Weight of one observation in the slowness of an engine that recovers.
const FASTER_WEIGHT: f64 = 0.1;

/// Time after which half of an engine's slowness is forgiven, so that an
/// engine without work is tried again.
const SLOWNESS_HALF_LIFE_MS: f64 = 4_000.0;

/// Most that slowness multiplies.
const MAX_SLOWNESS: f64 = 50.0;

/// Slots of an engine for each request that may wait inside it. With many
/// slots one is free soon; with few, the request would wait there for long,
/// where neither a fairer turn nor a withdrawn key can stop it.
const SLOTS_PER_QUEUED_REQUEST: u32 = 8;

/// Share of used slots below which an engine has slots to spare.
const SPARE_SLOTS_BELOW: f64 = 0.7;

/// Shortest time to first token that an observation is compared with: below
/// it the jitter of a network would count as slowness.
const MIN_EXPECTED_MS: f64 = 20.0;

/// Longest time for which an engine is believed to keep what it computed,
/// before its answers tell.
const MAX_RETENTION_MS: f64 = 30_000.0;

/// Shortest time for which a belief holds.
const MIN_RETENTION_MS: f64 = 500.0;

/// How an engine is named and where it stands.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Name of the record.
    pub name: String,
    /// Model of the record.
    pub model: String,
    /// Whether it stands in the instance's failure domain.
    pub in_same_domain: bool,
    /// Whether it gets no new work.
    pub departing: bool,
}

/// What an instance knows of one engine.
#[derive(Debug, Clone)]
pub(super) struct TrackedEngine {
    pub(super) spec: EngineSpec,
    pub(super) generation: u32,
    pub(super) state: Option<EngineState>,
    /// Attempts of this instance on the engine.
    pub(super) in_flight: u32,
    /// Attempts begun since the last report, less those that ended: what the
    /// report can't count yet.
    pub(super) since_report: i32,
    /// Prefill that this instance sent and that has not brought a first token.
    pub(super) backlog_ms: f64,
    /// Attempts of this instance without a first token.
    pub(super) pending: u32,
    /// Number of this instance's request that was sent here last.
    pub(super) last_sent: u64,
    reachable: bool,
    retired: Vec<u64>,
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
            retired: Vec::new(),
            slowness: 1.0,
            slowness_ms: 0,
            retention_ms: MAX_RETENTION_MS,
        }
    }

    /// Takes a report. One of a start that is over is dropped: it was under
    /// way when the engine crashed, and its cache is gone. Returns whether
    /// the engine is a new start.
    pub(super) fn report(&mut self, state: &EngineState) -> bool {
        if self.retired.contains(&state.incarnation) {
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
        if self.retired.len() >= MAX_RETIRED_INCARNATIONS {
            self.retired.remove(0);
        }
        self.retired.push(incarnation);
        self.generation += 1;
        self.retention_ms = MAX_RETENTION_MS;
        self.slowness = 1.0;
    }

    /// Notes that the engine did not answer. Its start is kept in mind, so
    /// that beliefs hold again if the same start answers later.
    pub(super) fn mark_unreachable(&mut self) {
        self.reachable = false;
    }

    /// Returns the model and version that the engine serves now.
    pub(super) fn served(&self) -> Option<(String, String)> {
        let state = self
            .state
            .as_ref()
            .filter(|s| self.reachable && !s.loading)?;
        (state.model == self.spec.model).then(|| (state.model.clone(), state.version.clone()))
    }

    /// Returns whether the engine can take work of a model and version.
    pub(super) fn serves(&self, model: &str, version: &str) -> bool {
        let fits = |s: &EngineState| !s.loading && s.model == model && s.version == version;
        self.reachable
            && !self.spec.departing
            && self.spec.model == model
            && self.state.as_ref().is_some_and(fits)
    }

    /// Returns the requests that the engine is thought to hold.
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

    /// Returns how long a new request would wait before its prefill begins.
    ///
    /// Own prefill under way is known; that of other instances is taken from
    /// the lagging count of requests that wait.
    pub(super) fn wait_ms(&self, service_ms: f64, prefill_ms: f64) -> f64 {
        let over = (self.occupancy() + 1).saturating_sub(self.slots());
        let slot_ms = f64::from(over) * service_ms / f64::from(self.slots());
        let others = self.waiting().saturating_sub(self.pending);
        slot_ms + self.backlog_ms + f64::from(others) * prefill_ms
    }

    /// Returns from 0 to 1 how far the engine is from having slots to spare. On
    /// one with slots to spare a prefill holds up nobody who waits.
    pub(super) fn fullness(&self) -> f64 {
        let used = f64::from(self.occupancy()) / f64::from(self.slots());
        ((used - SPARE_SLOTS_BELOW) / (1.0 - SPARE_SLOTS_BELOW)).clamp(0.0, 1.0)
    }

    /// Returns whether this instance may send one more.
    ///
    /// Its share of the slots is its own whatever the report says: a report
    /// is up to a second old, and a slot that its own request freed would
    /// stand idle until the next one. Beyond the share, free slots are split
    /// between the instances: all see the same report and would fill the same
    /// slots several times over.
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

    /// Notes that the prefill of an own attempt is over.
    pub(super) fn prefill_finished(&mut self, prefill_ms: f64) {
        self.pending = self.pending.saturating_sub(1);
        self.backlog_ms = (self.backlog_ms - prefill_ms).max(0.0);
    }

    /// Learns from the time to first token, against what was expected.
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

    /// Returns the factor by which the engine is slower than expected.
    pub(super) fn slowness(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.slowness_ms) as f64;
        1.0 + (self.slowness - 1.0) * (-elapsed_ms / SLOWNESS_HALF_LIFE_MS).exp2()
    }

    /// Returns whether a belief of an age still holds.
    pub(super) fn retains(&self, age_ms: u64) -> bool {
        (age_ms as f64) <= self.retention_ms
    }

    /// Learns how long the engine keeps what it does not use. Engines evict
    /// what was used longest ago, so one prefix that is gone tells of all
    /// that were used before it.
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
