use std::collections::VecDeque;

/// Number of requests whose durations are kept.
const KEPT_DURATIONS: usize = 32;

/// Durations of the last requests of one route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecentDurations(VecDeque<u64>);

impl RecentDurations {
    /// Records the time in milliseconds that a request took until its answer was complete.
    pub fn record(&mut self, took_ms: u64) {
        if self.0.len() == KEPT_DURATIONS {
            self.0.pop_front();
        }
        self.0.push_back(took_ms);
    }

    /// Returns the longest of the durations, in milliseconds; `None` if there is none.
    pub fn longest_ms(&self) -> Option<u64> {
        self.0.iter().copied().max()
    }
}
