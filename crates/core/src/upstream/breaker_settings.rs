/// Figures of a [`super::Breaker`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BreakerSettings {
    /// Failures in a row that open it. One may be the request's own fault (it
    /// crashed the engine), two a coincidence; a dead engine gives three
    /// within a fraction of a second at 20 requests a second.
    pub failures: u32,
    /// First pause, about the time in which an engine's process starts.
    pub pause_ms: u64,
    /// Longest pause: an engine that came back is found within this time.
    pub max_pause_ms: u64,
    /// Longest time that a probe may be out before another is let through. A
    /// probe whose end is never reported would keep the breaker shut.
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
