/// Factor by which earlier measurements decay with each request sent.
const DECAY: f64 = 0.95;

/// Measures how fast the queue drains while it is not empty.
///
/// Waits are predicted from this measurement and not from the engines' nominal
/// capacity, so that a slow engine or a colder cache is accounted for.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct DrainRate {
    tokens: f64,
    elapsed_ms: f64,
    last_ms: Option<u64>,
}

impl DrainRate {
    /// Records that a request of `tokens` was sent. `backlogged` says whether
    /// others are still queued.
    pub(super) fn record_sent(&mut self, tokens: u64, backlogged: bool, now_ms: u64) {
        if let Some(last_ms) = self.last_ms {
            self.tokens = self.tokens * DECAY + tokens as f64;
            self.elapsed_ms = self.elapsed_ms * DECAY + now_ms.saturating_sub(last_ms) as f64;
        }
        self.last_ms = backlogged.then_some(now_ms);
    }

    /// Records that the queue is no longer empty.
    pub(super) fn record_backlog(&mut self, now_ms: u64) {
        self.last_ms.get_or_insert(now_ms);
    }

    /// Returns the rate in tokens per millisecond, or `None` before enough was
    /// measured. The time since the last sent request counts, so that a stall
    /// lowers the rate while it lasts.
    pub(super) fn tokens_per_ms(&self, now_ms: u64) -> Option<f64> {
        let since_last_ms = self.last_ms.map_or(0, |ms| now_ms.saturating_sub(ms));
        let elapsed_ms = self.elapsed_ms + since_last_ms as f64;
        (self.elapsed_ms >= 1.0 && self.tokens > 0.0).then(|| self.tokens / elapsed_ms)
    }
}
