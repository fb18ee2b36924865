/// Weight that the past keeps at each request sent.
const DECAY: f64 = 0.95;

/// Measures how fast the queue drains while anything waits.
///
/// The prediction of a wait rests on what was measured and not on what the
/// engines should do: a slow engine or a colder cache shows here by itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct DrainRate {
    tokens: f64,
    elapsed_ms: f64,
    last_ms: Option<u64>,
}

impl DrainRate {
    /// Notes that a request of so many tokens was sent.
    pub(super) fn record_sent(&mut self, tokens: u64, backlogged: bool, now_ms: u64) {
        if let Some(last_ms) = self.last_ms {
            self.tokens = self.tokens * DECAY + tokens as f64;
            self.elapsed_ms = self.elapsed_ms * DECAY + now_ms.saturating_sub(last_ms) as f64;
        }
        self.last_ms = backlogged.then_some(now_ms);
    }

    /// Notes that the queue is no longer empty.
    pub(super) fn record_backlog(&mut self, now_ms: u64) {
        self.last_ms.get_or_insert(now_ms);
    }

    /// Returns tokens a millisecond; none before enough was seen. Time since
    /// the last request counts, so that a standstill shows while it lasts.
    pub(super) fn tokens_per_ms(&self, now_ms: u64) -> Option<f64> {
        let since_last_ms = self.last_ms.map_or(0, |ms| now_ms.saturating_sub(ms));
        let elapsed_ms = self.elapsed_ms + since_last_ms as f64;
        (self.elapsed_ms >= 1.0 && self.tokens > 0.0).then(|| self.tokens / elapsed_ms)
    }
}
