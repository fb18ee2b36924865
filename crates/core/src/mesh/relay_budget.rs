/// Bounds the datagrams that an instance relays for others. What isn't relayed is made
/// up for by the next heartbeat of its author, as if it were lost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RelayBudget {
    max_per_s: f64,
    available: f64,
    refilled_ms: u64,
}

impl RelayBudget {
    /// Returns a full budget of `max_per_s` datagrams a second, and as many at once.
    pub fn new(max_per_s: f64, now_ms: u64) -> RelayBudget {
        RelayBudget {
            max_per_s,
            available: max_per_s,
            refilled_ms: now_ms,
        }
    }

    /// Takes a number of datagrams from the budget, all or none, and returns whether
    /// they may be sent.
    pub fn take(&mut self, datagrams: usize, now_ms: u64) -> bool {
        let elapsed_s = now_ms.saturating_sub(self.refilled_ms) as f64 / 1_000.0;
        self.refilled_ms = self.refilled_ms.max(now_ms);
        let refilled = self.available + elapsed_s * self.max_per_s;
        self.available = refilled.min(self.max_per_s);
        let is_covered = datagrams as f64 <= self.available;
        if is_covered {
            self.available -= datagrams as f64;
        }
        is_covered
    }
}
