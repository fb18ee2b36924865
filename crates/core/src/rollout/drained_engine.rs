/// In-memory state of the lease holder for one drained engine. A new holder
/// starts without it, which repeats steps but causes no wrong ones.
#[derive(Debug, Clone, Default)]
pub(super) struct DrainedEngine {
    /// Time when the drain mark was first observed, in milliseconds.
    pub(super) drained_since_ms: u64,
    /// Time of the engine's last answer, in milliseconds.
    pub(super) last_answer_ms: u64,
    /// Version and time, in milliseconds, of the last order.
    pub(super) last_order: Option<(String, u64)>,
    /// Number of orders for that version.
    pub(super) order_count: u32,
    /// Incarnation and version of the last successful probe.
    pub(super) successful_probe: Option<(u64, String)>,
    /// Number of consecutive failed probes.
    pub(super) failed_probes: u32,
}

impl DrainedEngine {
    pub(super) fn new(now_ms: u64) -> DrainedEngine {
        DrainedEngine {
            drained_since_ms: now_ms,
            last_answer_ms: now_ms,
            ..DrainedEngine::default()
        }
    }

    /// Returns whether the last order was for this version and was sent less than
    /// `retry_ms` milliseconds ago, so that its effect may not be visible yet.
    pub(super) fn has_recent_order(&self, version: &str, retry_ms: u64, now_ms: u64) -> bool {
        self.last_order
            .as_ref()
            .is_some_and(|(v, at_ms)| v == version && now_ms.saturating_sub(*at_ms) < retry_ms)
    }
}
