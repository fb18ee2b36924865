/// How what engines say of their pace is smoothed, told to peers and forgotten.
///
/// Addresses engines that share their machine and run several times slower for seconds. One
/// instance uses a given engine every ten seconds, all instances together eight times a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceSettings {
    /// Minimum pace that is believed. Lower ones have no effect.
    pub min_believed_percent: u32,
    /// Maximum pace that is believed. Higher ones have no effect.
    pub max_believed_percent: u32,
    /// Minimum pace that is assumed. An engine that names an extreme one doesn't attract all
    /// requests.
    pub min_assumed_percent: u32,
    /// Maximum pace that is assumed.
    pub max_assumed_percent: u32,
    /// Time constant of the smoothing. Engines name another pace many times a second.
    pub smoothing_ms: u64,
    /// Maximum weight of one figure against the ones before, so that a single outlier after a
    /// pause doesn't count alone.
    pub max_weight: f64,
    /// Age up to which a pace counts in full.
    pub fresh_ms: u64,
    /// Age from which an engine counts as running at its usual pace. Between the two ages, the
    /// pace approaches the usual one, so that a slow engine which gets few requests is tried
    /// again by some instances and not by all at once.
    pub valid_ms: u64,
    /// Ratio of two paces from which on peers are told of the later one.
    pub report_ratio: f64,
    /// Minimum time between two reports of an instance on an engine.
    pub report_interval_ms: u64,
}

impl PaceSettings {
    pub(super) fn is_believed(&self, pace_percent: u32) -> bool {
        (self.min_believed_percent..=self.max_believed_percent).contains(&pace_percent)
    }

    pub(super) fn assumed_percent(&self, percent: f64) -> f64 {
        let min = f64::from(self.min_assumed_percent);
        percent.max(min).min(f64::from(self.max_assumed_percent))
    }
}

impl Default for PaceSettings {
    fn default() -> PaceSettings {
        PaceSettings {
            min_believed_percent: 10,
            max_believed_percent: 10_000,
            min_assumed_percent: 50,
            max_assumed_percent: 2_000,
            smoothing_ms: 300,
            max_weight: 0.75,
            fresh_ms: 500,
            valid_ms: 2_000,
            report_ratio: 1.25,
            report_interval_ms: 200,
        }
    }
}
