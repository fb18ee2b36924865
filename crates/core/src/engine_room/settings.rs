use super::FleetView;

/// Bounds on what all instances together have at an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoomSettings {
    /// Tokens of a block. Engines give memory to requests in whole blocks.
    pub block_tokens: u64,
    /// Fraction of an engine's memory that first attempts may use.
    pub usable_fraction: f64,
    /// Fraction that resumed streams may use. Their callers are reading, and nothing else can
    /// serve them.
    pub resumed_fraction: f64,
    /// Number of parts into which an engine's memory is divided. A long prompt fits into one.
    pub parts: usize,
    /// Time after the start of an instance after which nothing of what it sent before is left
    /// at the engines. Long prompts have a deadline of five seconds.
    pub former_work_ms: u64,
    /// Time after the start of an instance within which it may not know all others yet.
    pub learning_ms: u64,
    /// Time for which the view of the fleet holds.
    pub fleet_valid_ms: u64,
    /// Time for which the rank at an engine holds. Computing it walks through all instances.
    pub rank_valid_ms: u64,
    /// Time after which callers are told to come back where no engine has room.
    pub retry_after_ms: u64,
}

impl Default for RoomSettings {
    fn default() -> RoomSettings {
        RoomSettings {
            block_tokens: 16,
            usable_fraction: 0.92,
            resumed_fraction: 0.97,
            parts: 12,
            former_work_ms: 5_000,
            learning_ms: 2_000,
            fleet_valid_ms: 100,
            rank_valid_ms: 1_000,
            retry_after_ms: 500,
        }
    }
}

impl RoomSettings {
    /// Returns the tokens in whole blocks.
    pub fn in_blocks(&self, tokens: u64) -> u64 {
        tokens.next_multiple_of(self.block_tokens)
    }

    /// Returns the tokens of an engine's memory that all instances may use, without what may be
    /// left there of former starts.
    pub fn usable_tokens(&self, memory_tokens: u64, is_resumed: bool, fleet: &FleetView) -> u64 {
        let fraction = match is_resumed {
            true => self.resumed_fraction,
            false => self.usable_fraction,
        };
        (memory_tokens as f64 * (fraction - fleet.former_fraction).max(0.0)) as u64
    }
}
