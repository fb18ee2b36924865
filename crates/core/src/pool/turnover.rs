use crate::demand::Demand;

/// Bounds on the estimated time for which an engine caches an unused part.
const MIN_RETENTION_MS: f64 = 1_000.0;
const MAX_RETENTION_MS: f64 = 30_000.0;

/// Rate at which this instance fills the memory of engines. Determines how long
/// a part stays cached after its last use.
#[derive(Debug, Clone, Copy, Default)]
pub struct Turnover {
    sent: Demand,
}

impl Turnover {
    /// Records tokens that an engine has to take into its memory.
    pub fn record_sent(&mut self, tokens: u64, now_ms: u64) {
        self.sent.add(tokens as f64, now_ms);
    }

    /// Returns the time for which a part is assumed to stay in the memory of an
    /// engine after its last use. `memory_tokens` is the memory of each of
    /// `engines` engines; every one of `instances` is assumed to send as much
    /// as this one.
    ///
    /// The least recently used part is evicted first, so a part stays until the
    /// memory has been filled once with other tokens. With a fixed time, a
    /// deployment with larger memories or less traffic would read parts again
    /// that are still cached, and one with smaller memories would send prompts
    /// to engines that have evicted them.
    pub fn retention_ms(
        &self,
        memory_tokens: u64,
        engines: usize,
        instances: usize,
        now_ms: u64,
    ) -> u64 {
        let all_per_s = self.sent.at(now_ms) * instances as f64;
        let engine_per_s = all_per_s / engines.max(1) as f64;
        let filled_ms = memory_tokens as f64 * 1_000.0 / engine_per_s.max(1.0);
        filled_ms.clamp(MIN_RETENTION_MS, MAX_RETENTION_MS) as u64
    }
}
