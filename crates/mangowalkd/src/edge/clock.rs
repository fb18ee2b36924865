use {
    mangowalk_core::edge::Clock,
    std::time::{Instant, SystemTime, UNIX_EPOCH},
};

/// The system's monotonic clock, which counts from the creation of this value,
/// and its wall clock.
#[derive(Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl Default for MonotonicClock {
    fn default() -> MonotonicClock {
        MonotonicClock {
            start: Instant::now(),
        }
    }
}

impl Clock for MonotonicClock {
    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn wall_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64)
    }
}
