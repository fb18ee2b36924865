/// What a holder of the lease remembers of one engine that is out. A holder
/// that takes over starts with nothing, which costs repeated steps and no
/// wrong ones.
#[derive(Debug, Clone, Default)]
pub(super) struct DrainedEngine {
    /// When the mark was first seen.
    pub(super) drained_since_ms: u64,
    /// When the engine last answered.
    pub(super) last_answer_ms: u64,
    /// The last order: its version, and when it was given.
    pub(super) last_order: Option<(String, u64)>,
    /// Orders of that version.
    pub(super) order_count: u32,
    /// Incarnation and version that answered a probe.
    pub(super) successful_probe: Option<(u64, String)>,
    /// Probes that failed in a row.
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

    /// Returns whether an order for this version was given so lately that its
    /// effect may not show yet.
    pub(super) fn has_recent_order(&self, version: &str, retry_ms: u64, now_ms: u64) -> bool {
        self.last_order
            .as_ref()
            .is_some_and(|(v, at_ms)| v == version && now_ms.saturating_sub(*at_ms) < retry_ms)
    }
}
