use {std::time::Duration, tokio::time::sleep};

/// First and longest pause after a call that failed. Spread at random, so
/// that a herd that starts together doesn't call together.
const INITIAL_MS: u64 = 100;
const MAX_MS: u64 = 800;

/// Pauses between calls that fail, each longer than the one before.
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
    /// Waits before the next call.
    pub(super) async fn wait(&mut self) {
        let jittered_ms = self.next_ms / 2 + rand::random_range(0..self.next_ms);
        self.next_ms = (self.next_ms * 2).min(MAX_MS);
        sleep(Duration::from_millis(jittered_ms)).await;
    }
}
