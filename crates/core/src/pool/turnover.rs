use crate::demand::Demand;

/// Bounds on the time for which an engine is taken to keep a part.
const MIN_RETENTION_MS: f64 = 1_000.0;
const MAX_RETENTION_MS: f64 = 30_000.0;

/// How fast engines' memory fills with what this instance sends, from which
/// follows how long they keep a part that nobody uses.
#[derive(Debug, Clone, Copy, Default)]
pub struct Turnover {
    sent: Demand,
}

impl Turnover {
    /// Notes tokens that an engine has to take into its memory.
    pub fn record_sent(&mut self, tokens: u64, now_ms: u64) {
        self.sent.add(tokens as f64, now_ms);
    }

    /// Returns for how long a part is taken to stay in an engine's memory after
    /// its last use, where so many engines of one size take what so many
    /// instances send.
    ///
    /// The least recently used part yields, so a part stays until the memory was
    /// filled once with other tokens. With one fixed time a deployment with
    /// larger memories or less traffic would read again what it still has, and
    /// one with smaller ones would send prompts to engines that have lost them.
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
