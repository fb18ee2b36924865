/// Settings of a [`super::ConcurrencyLimit`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitSettings {
    /// Limit of an upstream without answers. At 20 requests a second per node
    /// and 16 engines, 32 waiting attempts are 25 s of one engine's share: a
    /// healthy engine never reaches the limit, and a new one gets work at once.
    pub initial_limit: f64,
    /// Minimum limit. One attempt at a time must remain allowed, or a recovery
    /// of the upstream could never be detected.
    pub min_limit: f64,
    /// Maximum limit, about half of the streams that one instance may hold.
    pub max_limit: f64,
    /// Factor above which the smoothed time to first token counts as slow,
    /// relative to the smaller of the baseline and the peers' times. A prefix
    /// cache miss alone makes one answer several times slower than a hit, so
    /// times are smoothed before the comparison; the mix of hits and misses
    /// changes the smoothed time by less than a factor of 2.
    pub slow_factor: f64,
    /// Milliseconds added to the bound, so that a few milliseconds of
    /// scheduling delay on a fast engine do not count as slow.
    pub slack_ms: f64,
    /// Weight of one answer in the recent average. At 0.25 four answers make up
    /// two thirds of it, so three slow answers in a row are enough to react.
    pub recent_weight: f64,
    /// Weight of one answer in the baseline, which averages over about a
    /// hundred answers.
    pub baseline_weight: f64,
    /// Minimum factor of one decrease.
    pub min_factor: f64,
}

impl Default for LimitSettings {
    fn default() -> LimitSettings {
        LimitSettings {
            initial_limit: 32.0,
            min_limit: 1.0,
            max_limit: 512.0,
            slow_factor: 2.0,
            slack_ms: 30.0,
            recent_weight: 0.25,
            baseline_weight: 0.01,
            min_factor: 0.5,
        }
    }
}
