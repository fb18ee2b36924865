use super::LimitSettings;

/// Adaptive limit of the attempts that may wait for one upstream's first token.
///
/// Load pattern: one engine among many becomes slow (a noisy neighbour, a bad
/// clock, long jobs in its batch). Without a limit it keeps its share of new
/// requests, its queue grows without bound, and it alone determines the tail
/// of the time to first token.
///
/// Additive increase, multiplicative decrease: one decrease at most halves the
/// limit, and each full round of answers raises it by 1. A slow upstream loses
/// nine tenths of its requests within four decreases and regains one attempt
/// per round. With a fast increase and a slow decrease, load would oscillate
/// between engines faster than their answers show the effect.
///
/// An upstream counts as slow relative to the smaller of its own baseline and
/// the current times of its peers. Relative to its baseline alone, lasting
/// slowness would become the baseline after about a hundred answers.
#[derive(Debug, Clone, PartialEq)]
pub struct ConcurrencyLimit {
    settings: LimitSettings,
    limit: f64,
    recent_ms: Option<f64>,
    baseline_ms: Option<f64>,
    last_reduced_ms: Option<u64>,
}

impl ConcurrencyLimit {
    /// Returns the initial limit, for an upstream without any answers yet.
    pub fn new(settings: LimitSettings) -> ConcurrencyLimit {
        ConcurrencyLimit {
            settings,
            limit: settings.initial_limit,
            recent_ms: None,
            baseline_ms: None,
            last_reduced_ms: None,
        }
    }

    /// Returns the maximum number of waiting attempts, at least 1.
    pub fn attempts(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the smoothed time to first token of the last few answers, in
    /// milliseconds; `None` before the first answer.
    pub fn recent_ms(&self) -> Option<f64> {
        self.recent_ms
    }

    /// Records the time to first token of one attempt and adjusts the limit.
    ///
    /// `waiting` is the number of waiting attempts, this one included.
    /// `peers_ms` is the median recent time of the other upstreams that serve
    /// the same model or service.
    pub fn first_token(&mut self, took_ms: u64, waiting: u32, peers_ms: Option<f64>, now_ms: u64) {
        let recent_ms = self.smooth(took_ms as f64);
        let baseline_ms = self.baseline_ms.unwrap_or(recent_ms);
        let reference_ms = peers_ms.map_or(baseline_ms, |peers_ms| peers_ms.min(baseline_ms));
        let bound_ms = reference_ms * self.settings.slow_factor + self.settings.slack_ms;
        if recent_ms > bound_ms {
            self.reduce(bound_ms / recent_ms, now_ms);
        } else if f64::from(waiting) * 2.0 >= self.limit {
            // While less than half of the limit is in use, answers do not
            // show the effect of a higher limit.
            self.limit = (self.limit + 1.0 / self.limit).min(self.settings.max_limit);
        }
    }

    /// Records an attempt that failed or timed out, and lowers the limit.
    pub fn failed(&mut self, now_ms: u64) {
        self.reduce(self.settings.min_factor, now_ms);
    }

    fn smooth(&mut self, took_ms: f64) -> f64 {
        let settings = &self.settings;
        let blend = |old: Option<f64>, weight: f64| {
            old.map_or(took_ms, |old| old + (took_ms - old) * weight)
        };
        let recent_ms = blend(self.recent_ms, settings.recent_weight);
        self.baseline_ms = Some(blend(self.baseline_ms, settings.baseline_weight));
        self.recent_ms = Some(recent_ms);
        recent_ms
    }

    /// Lowers the limit at most once per round of answers. Attempts that were
    /// already sent at the last decrease reflect the queue before it, and would
    /// each lower the limit again for the same cause.
    fn reduce(&mut self, factor: f64, now_ms: u64) {
        let round_ms = self.recent_ms.unwrap_or_default() as u64;
        if self
            .last_reduced_ms
            .is_some_and(|last_reduced_ms| now_ms.saturating_sub(last_reduced_ms) < round_ms)
        {
            return;
        }
        self.last_reduced_ms = Some(now_ms);
        let factor = factor.clamp(self.settings.min_factor, 1.0);
        self.limit = (self.limit * factor).max(self.settings.min_limit);
    }
}
