use crate::demand::Demand;

/// Bounds on the estimated time for which an engine keeps an unused part of a
/// prompt cached.
const MIN_RETENTION_MS: f64 = 1_000.0;
const MAX_RETENTION_MS: f64 = 30_000.0;

/// Rate at which this instance fills the memory of engines with tokens, and the
/// estimate that follows from it of how long a part stays cached after its last
/// use.
#[derive(Debug, Clone, Copy, Default)]
pub struct Turnover {
    sent_tokens: Demand,
}

impl Turnover {
    /// Records tokens that an engine has to take into its memory.
    pub fn record_sent(&mut self, tokens: u64, now_ms: u64) {
        self.sent_tokens.add(tokens as f64, now_ms);
    }

    /// Returns the time for which a part is assumed to stay in the memory of an
    /// engine after its last use. `memory_tokens` is the size of the memory of
    /// one engine. The tokens are assumed to be spread evenly over the engines,
    /// and each instance is assumed to send as many as this one.
    ///
    /// The least recently used part is evicted first, so a part stays until the
    /// memory has been filled once with other tokens. With a fixed time, a
    /// deployment with larger memories or less traffic would prefill parts again
    /// that are still cached, and one with smaller memories would send prompts
    /// to engines that have evicted their parts.
    pub fn retention_ms(
        &self,
        memory_tokens: u64,
        engines: usize,
        instances: usize,
        now_ms: u64,
    ) -> u64 {
        let all_tokens_per_s = self.sent_tokens.at(now_ms) * instances as f64;
        let engine_tokens_per_s = all_tokens_per_s / engines.max(1) as f64;
        let fill_ms = memory_tokens as f64 * 1_000.0 / engine_tokens_per_s.max(1.0);
        fill_ms.clamp(MIN_RETENTION_MS, MAX_RETENTION_MS) as u64
    }
}
