use {std::time::Duration, tokio::time::sleep};

/// Delay after the first failed call, before jitter.
const INITIAL_MS: u64 = 100;

/// Maximum delay, before jitter.
const MAX_MS: u64 = 800;

/// Exponential backoff between failed calls, with jitter so that instances that
/// start at the same time do not call at the same time.
pub(super) struct Backoff {
    next_ms: u64,
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff {
            next_ms: INITIAL_MS,
        }
    }
}

impl Backoff {
    /// Waits before the next call and doubles the delay after it, up to the
    /// maximum.
    pub(super) async fn wait(&mut self) {
        let jittered_ms = self.next_ms / 2 + rand::random_range(0..self.next_ms);
        self.next_ms = (self.next_ms * 2).min(MAX_MS);
        sleep(Duration::from_millis(jittered_ms)).await;
    }
}
