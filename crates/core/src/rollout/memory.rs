/// What a holder of the lease remembers of one engine that is out. A holder
/// that takes over starts with nothing, which costs repeated steps and no
/// wrong ones.
#[derive(Debug, Clone, Default)]
pub(super) struct Memory {
    /// When the mark was first seen.
    pub(super) drained_ms: u64,
    /// When the engine last answered.
    pub(super) answered_ms: u64,
    /// The last order: its version, and when it was given.
    pub(super) ordered: Option<(String, u64)>,
    /// Orders of that version.
    pub(super) orders: u32,
    /// Incarnation and version that answered a probe.
    pub(super) probed: Option<(u64, String)>,
    /// Probes that failed in a row.
    pub(super) failed_probes: u32,
}

impl Memory {
    pub(super) fn new(now_ms: u64) -> Memory {
        Memory {
            drained_ms: now_ms,
            answered_ms: now_ms,
            ..Memory::default()
        }
    }

    /// Returns whether an order for this version was given so lately that its
    /// effect may not show yet.
    pub(super) fn awaits(&self, version: &str, retry_ms: u64, now_ms: u64) -> bool {
        self.ordered
            .as_ref()
            .is_some_and(|(v, at_ms)| v == version && now_ms.saturating_sub(*at_ms) < retry_ms)
    }
}
