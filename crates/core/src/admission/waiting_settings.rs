use super::{AdmissionSettings, RetrySettings};

/// How many requests wait in an instance, and how they are tried again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitingSettings {
    /// Order of the requests and bound on their number.
    pub order: AdmissionSettings,
    /// Maximum number of bytes of all requests that wait. The smallest instance has 88 MB.
    pub max_bytes: usize,
    /// Longest time between two walks through the requests that wait.
    pub walk_interval_ms: u64,
    /// Shortest time between two walks, whatever happens meanwhile. An instance hears hundreds
    /// of heartbeats a second and has an eighth of a core.
    pub min_walk_interval_ms: u64,
    /// Number of requests that are tried in one walk, beginning with the first in order.
    pub tries_per_walk: usize,
    /// Time after which a walk whose current request does not answer is given up.
    pub max_walk_ms: u64,
    /// Time kept for the answer of a request after its prompt is read. With 300 ms, more requests
    /// reached their deadlines at engines that were still writing.
    pub answer_reserve_ms: u64,
    /// When refused callers are asked to come back.
    pub retry: RetrySettings,
}

impl Default for WaitingSettings {
    fn default() -> WaitingSettings {
        WaitingSettings {
            order: AdmissionSettings {
                max_queued: 256,
                // An urgent request never waits behind one of a lower priority.
                priority_step_ms: u64::MAX,
                ..AdmissionSettings::default()
            },
            max_bytes: 8_000_000,
            walk_interval_ms: 20,
            min_walk_interval_ms: 10,
            tries_per_walk: 4,
            max_walk_ms: 100,
            answer_reserve_ms: 800,
            retry: RetrySettings::default(),
        }
    }
}
