use {std::time::Duration, tokio::time::sleep};

/// First and longest pause after a call that failed. Spread at random, so
/// that a herd that starts together doesn't call together.
const FIRST_MS: u64 = 100;
const LONGEST_MS: u64 = 800;

/// Pauses between calls that fail, each longer than the one before.
pub(super) struct Pauses {
    next_ms: u64,
}

impl Default for Pauses {
    fn default() -> Pauses {
        Pauses { next_ms: FIRST_MS }
    }
}

impl Pauses {
    /// Waits before the next call.
    pub(super) async fn pause(&mut self) {
        let spread_ms = self.next_ms / 2 + rand::random_range(0..self.next_ms);
        self.next_ms = (self.next_ms * 2).min(LONGEST_MS);
        sleep(Duration::from_millis(spread_ms)).await;
    }
}
