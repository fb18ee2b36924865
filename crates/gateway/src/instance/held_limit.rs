use {super::Instance, crate::bounded::HeldKind, tokio::sync::SemaphorePermit};

/// Part of the machine's memory that bytes held for callers and engines may take. Each costs
/// up to a second one, in buffers of the operating system and in unused rest of allocated
/// blocks, and the other half of the memory is for the program and its state.
const HELD_FRACTION: usize = 4;

/// Bound where the settings file doesn't tell the machine's memory.
const DEFAULT_MAX_HELD_BYTES: usize = 64 << 20;

/// Minimum bound: a request and an answer of the largest sizes.
const MIN_MAX_HELD_BYTES: usize = 8 << 20;

impl Instance {
    /// Returns the maximum number of bytes that may be held for callers and engines.
    pub fn max_held_bytes(&self) -> usize {
        let memory = self.machine().memory_bytes;
        memory.map_or(DEFAULT_MAX_HELD_BYTES, |bytes| {
            let part = usize::try_from(bytes).unwrap_or(usize::MAX) / HELD_FRACTION;
            part.max(MIN_MAX_HELD_BYTES)
        })
    }

    /// Returns whether so many bytes are held that no further ones may be accepted.
    pub fn holds_too_much(&self) -> bool {
        self.held.total() > self.max_held_bytes()
    }

    /// Permits one answer at a time to be read to its end while too much is held. Otherwise
    /// answers that are all read in part would wait for each other until their deadlines.
    ///
    /// Returns `None` while another answer has the permit, or while half of the bound is unsent:
    /// callers that don't read would make the instance hold one complete answer after another.
    pub fn permit_over_bound(&self) -> Option<SemaphorePermit<'_>> {
        if self.held.of(HeldKind::Unsent) > self.max_held_bytes() / 2 {
            return None;
        }
        self.over_bound.try_acquire().ok()
    }

    /// Returns what is held and its bound in the Prometheus text format.
    pub fn render_held(&self) -> String {
        let max = self.max_held_bytes();
        format!("{}mangowalk_held_bytes_max {max}\n", self.held.render())
    }
}
