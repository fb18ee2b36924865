/// Settings of a [`super::Breaker`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BreakerSettings {
    /// Consecutive failures that open the breaker. One may be caused by the
    /// request itself (it crashed the engine), two may be a coincidence. At 20
    /// requests a second a dead engine produces three within a fraction of a
    /// second.
    pub failures: u32,
    /// First pause, in milliseconds: about the start time of an engine process.
    pub pause_ms: u64,
    /// Maximum pause, in milliseconds: bounds the time until an engine that
    /// recovered is detected.
    pub max_pause_ms: u64,
    /// Time after which another probe is let through while the previous one has
    /// not ended, in milliseconds. Without it, a probe whose end is never
    /// reported would keep the breaker open.
    pub probe_timeout_ms: u64,
}

impl Default for BreakerSettings {
    fn default() -> BreakerSettings {
        BreakerSettings {
            failures: 3,
            pause_ms: 500,
            max_pause_ms: 8_000,
            probe_timeout_ms: 20_000,
        }
    }
}
