use {
    super::{
        CanaryDirective, CanaryOrder, CanarySettings, ExposureBudget, LossReport, Sample,
        VersionSamples,
    },
    crate::pool::short_hash,
    std::collections::{BTreeMap, VecDeque},
};

/// Maximum number of lost answers that are reported again and again, the last ones.
const MAX_LOSSES: usize = 32;

/// An order that is not decided.
#[derive(Debug)]
pub(super) struct OpenOrder {
    pub(super) order: CanaryOrder,
    /// When the order was given, on the clock of this instance. Negative if that was
    /// before its machine started.
    pub(super) given_ms: i64,
    pub(super) opened_ms: u64,
    /// Whether the service ran this version already, so that there is nothing to move.
    pub(super) is_void: bool,
    pub(super) directives: BTreeMap<String, (CanaryDirective, u64)>,
    pub(super) budget: ExposureBudget,
    pub(super) samples: BTreeMap<u32, VersionSamples>,
    pub(super) losses: VecDeque<LossReport>,
}

impl OpenOrder {
    /// Returns an order that was given at `given_ms`, of which this instance hears now.
    /// `draw` is a random number from 0 to 1 for its budget.
    pub(super) fn new(
        order: &CanaryOrder,
        given_ms: i64,
        is_void: bool,
        draw: f64,
        now_ms: u64,
    ) -> OpenOrder {
        OpenOrder {
            order: order.clone(),
            given_ms,
            opened_ms: now_ms,
            is_void,
            directives: BTreeMap::new(),
            budget: ExposureBudget::new(draw),
            samples: BTreeMap::new(),
            losses: VecDeque::new(),
        }
    }

    /// Records the result of a request at an engine of a version.
    pub(super) fn record(&mut self, version: &str, route: u32, sample: Sample) {
        let is_candidate = version == self.order.id.to;
        let samples = self.samples.entry(route).or_default();
        match is_candidate {
            true => samples.candidate.record(sample),
            false => samples.current.record(sample),
        }
    }

    /// Records that an answer of an engine of a version was lost.
    pub(super) fn record_loss(&mut self, version: &str, engine: &str, now_ms: u64) {
        let loss = LossReport {
            engine: short_hash(engine),
            is_candidate: version == self.order.id.to,
            second: (self.elapsed_ms(now_ms) / 1_000) as u32,
        };
        if self.losses.contains(&loss) {
            return;
        }
        self.losses.push_back(loss);
        if self.losses.len() > MAX_LOSSES {
            self.losses.pop_front();
        }
    }

    pub(super) fn update(&mut self, order: &CanaryOrder) {
        self.order.update(order);
    }

    pub(super) fn elapsed_ms(&self, now_ms: u64) -> u64 {
        (now_ms as i64 - self.given_ms).max(0) as u64
    }

    /// Returns the share of requests for the new version, in thousandths, and whether
    /// only those that may run again are tried. It is the least that a decider has said
    /// lately, and nothing without a directive.
    pub(super) fn share(&self, settings: &CanarySettings, now_ms: u64) -> (u16, bool) {
        let fresh = self
            .directives
            .values()
            .filter(|(_, heard_ms)| now_ms <= heard_ms + settings.directive_valid_ms);
        let fresh = fresh.map(|(directive, _)| directive);
        let only_repeatable = fresh.clone().any(|directive| directive.only_repeatable);
        let least = fresh.map(|directive| directive.share_permille).min();
        (least.unwrap_or(0).min(1_000), only_repeatable)
    }
}
