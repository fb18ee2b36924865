use super::LimitSettings;

/// How many attempts may wait for one upstream's first token at once.
///
/// Load pattern: one engine among many turns slow (a noisy neighbour, a bad
/// clock, long jobs in its batch). Without a limit it keeps its share of new
/// work, its queue grows without bound, and the tail of the time to first
/// token is that engine's.
///
/// The limit falls by a factor and grows by steps: at most to half in one
/// cut, and by 1 for each full round of answers. A slow upstream thus loses
/// nine tenths of its work within four cuts, and takes as many rounds to
/// regain it as it has attempts to regain. The other way round, work would
/// swing between engines faster than their answers tell how they fare.
///
/// "Slow" is told from the upstream's own usual time and from what its peers
/// need now, whichever is less. Its own time alone would take a lasting
/// slowness for the usual after some hundred answers.
#[derive(Debug, Clone, PartialEq)]
pub struct ConcurrencyLimit {
    settings: LimitSettings,
    limit: f64,
    recent_ms: Option<f64>,
    baseline_ms: Option<f64>,
    last_reduced_ms: Option<u64>,
}

impl ConcurrencyLimit {
    /// Returns the limit of an upstream that nothing is known of.
    pub fn new(settings: LimitSettings) -> ConcurrencyLimit {
        ConcurrencyLimit {
            settings,
            limit: settings.initial_limit,
            recent_ms: None,
            baseline_ms: None,
            last_reduced_ms: None,
        }
    }

    /// Returns how many attempts it may have at once, at least 1.
    pub fn attempts(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the smoothed time to first token of the last few answers.
    pub fn recent_ms(&self) -> Option<f64> {
        self.recent_ms
    }

    /// Takes the time to first token of one attempt.
    ///
    /// `waiting` counts the attempts that waited, `peers_ms` is the middle of the short averages of the others that serve the same.
    pub fn first_token(&mut self, took_ms: u64, waiting: u32, peers_ms: Option<f64>, now_ms: u64) {
        let recent_ms = self.smooth(took_ms as f64);
        let baseline_ms = self.baseline_ms.unwrap_or(recent_ms);
        let reference_ms = peers_ms.map_or(baseline_ms, |peers_ms| peers_ms.min(baseline_ms));
        let bound_ms = reference_ms * self.settings.slow_factor + self.settings.slack_ms;
        if recent_ms > bound_ms {
            self.reduce(bound_ms / recent_ms, now_ms);
        } else if f64::from(waiting) * 2.0 >= self.limit {
            // A limit that is not in use says nothing about what more would do.
            self.limit = (self.limit + 1.0 / self.limit).min(self.settings.max_limit);
        }
    }

    /// Takes an attempt that failed or brought nothing in time.
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

    /// Cuts once for each round of answers: those that were already out when
    /// the last cut was made tell of the queue before it, and each would cut
    /// again for the same cause.
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
