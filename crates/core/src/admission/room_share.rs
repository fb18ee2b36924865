use crate::pool::rendezvous;

/// Time constant of the mean rate of arrivals. It covers several heartbeats, and a burst is
/// noticed within a second.
const ARRIVALS_MEAN_MS: f64 = 1_000.0;

/// Mean rate at which requests arrive at this instance.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ArrivalRate {
    per_ms: f64,
    updated_ms: u64,
}

impl ArrivalRate {
    /// Records an arrival.
    pub fn record(&mut self, now_ms: u64) {
        self.per_ms = self.per_ms(now_ms) + 1.0 / ARRIVALS_MEAN_MS;
        self.updated_ms = now_ms;
    }

    /// Returns the mean number of arrivals in a millisecond.
    pub fn per_ms(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.per_ms * (-elapsed_ms / ARRIVALS_MEAN_MS).exp()
    }
}

/// Requests of all instances that may use the room of an engine before they hear of each other.
///
/// Load: engines that fall free while requests wait at many instances, as when their weights are
/// loaded. All instances see the room at the same time, and without a division 40 long prompts
/// reach an engine with room for four within 60 ms. Each request may use the room with the
/// probability at which as many requests as have room are expected to use it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Competition {
    /// Requests of all instances that look for an engine within `interval_ms`.
    pub requests: f64,
    /// Time after which instances know what others have sent.
    pub interval_ms: u64,
}

impl Competition {
    /// Returns the competition among `instances` that have as much work as this one.
    pub fn new(
        instances: usize,
        waiting: usize,
        arrivals: ArrivalRate,
        interval_ms: u64,
        now_ms: u64,
    ) -> Competition {
        let own = waiting as f64 + arrivals.per_ms(now_ms) * interval_ms as f64;
        Competition {
            requests: own * instances as f64,
            interval_ms,
        }
    }

    /// Returns whether a request may use an engine that has room for `free_requests`. The answer
    /// for a request and an engine stays the same for an interval.
    pub fn admits(&self, request: u64, engine: &str, free_requests: f64, now_ms: u64) -> bool {
        if free_requests >= self.requests {
            return true;
        }
        // Requests change over at different times, or all would at once.
        let interval = now_ms.wrapping_add(request % 1_024) / self.interval_ms.max(1);
        let hash = rendezvous(request.rotate_left(17) ^ interval, engine);
        let draw = hash as f64 / u64::MAX as f64;
        draw * self.requests < free_requests
    }
}
