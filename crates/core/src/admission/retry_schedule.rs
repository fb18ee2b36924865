use super::WorkAhead;

/// When refused callers are asked to come back.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Shortest delay.
    pub min_delay_ms: u64,
    /// Longest delay. Callers with less than three times as long left do not come back.
    pub max_delay_ms: u64,
    /// Part of the measured drain that is given to callers that come back. New callers take the
    /// rest.
    pub drain_ratio: f64,
    /// Part of the requests that wait which is to be gone when the first caller comes back.
    pub drained_ratio: f64,
}

impl Default for RetrySettings {
    fn default() -> RetrySettings {
        RetrySettings {
            min_delay_ms: 200,
            max_delay_ms: 10_000,
            drain_ratio: 0.25,
            drained_ratio: 1.0,
        }
    }
}

/// The work that stands before a refused caller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RefusedWork {
    /// The requests that wait in the instance and are served before it.
    pub ahead: WorkAhead,
    /// Tokens of the refused request.
    pub own_tokens: u64,
    /// Rate at which requests leave the instance for engines.
    pub drain_tokens_per_ms: f64,
}

/// Gives each refused caller a time of its own to come back.
///
/// The load it addresses is an overload of some seconds: callers that all come back after the
/// same time find the room full again.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RetrySchedule {
    next_ms: f64,
}

impl RetrySchedule {
    /// Returns the delay in milliseconds for one more refused caller.
    pub fn delay_ms(&mut self, work: RefusedWork, settings: &RetrySettings, now_ms: u64) -> u64 {
        let drain = work.drain_tokens_per_ms.max(f64::MIN_POSITIVE);
        let drained_ms = (work.ahead.tokens as f64 / drain).max(work.ahead.longest_wait_ms as f64)
            * settings.drained_ratio;
        let latest_ms = now_ms as f64 + settings.max_delay_ms as f64;
        let at_ms = self.next_ms.max(now_ms as f64 + drained_ms);
        self.next_ms =
            (at_ms + work.own_tokens as f64 / (drain * settings.drain_ratio)).min(latest_ms);
        let delay_ms = (at_ms - now_ms as f64) as u64;
        delay_ms.clamp(settings.min_delay_ms, settings.max_delay_ms)
    }
}
