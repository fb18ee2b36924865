/// Figures of a [`super::ConcurrencyLimit`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitSettings {
    /// Limit of an upstream that nothing is known of. At 20 requests a second
    /// a node and 16 engines, 32 that wait are 25 s of one engine's share: a
    /// healthy engine never meets it, and a new one gets work at once.
    pub initial_limit: f64,
    /// Lowest limit. One attempt at a time must stay, or the upstream could
    /// never show that it recovered.
    pub min_limit: f64,
    /// Highest limit, about half the streams that one instance may hold.
    pub max_limit: f64,
    /// Time to first token counts as slow above this many times the usual.
    /// A missed prefix alone makes one answer several times slower than a
    /// hit, so single answers are smoothed first, and twice the usual of a
    /// smoothed time is more than the mix of hits and misses moves it.
    pub slow_factor: f64,
    /// Added to the usual time before it counts as slow, so that a few
    /// milliseconds of scheduling on a fast engine are no sign of load.
    pub slack_ms: f64,
    /// Weight of one answer in the short average. At 0.25 four answers are
    /// two thirds of it: three slow ones in a row are enough to react.
    pub recent_weight: f64,
    /// Weight of one answer in the usual time, some hundred answers.
    pub baseline_weight: f64,
    /// Smallest factor of one decrease.
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
