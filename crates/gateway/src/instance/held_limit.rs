use super::Instance;

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

    /// Returns what is held and its bound in the Prometheus text format.
    pub fn render_held(&self) -> String {
        let max = self.max_held_bytes();
        format!("{}mangowalk_held_bytes_max {max}\n", self.held.render())
    }
}
