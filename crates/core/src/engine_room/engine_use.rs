use crate::pool::{KnownEngine, Load};

/// What an instance knows of the use of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineUse {
    /// Place of this instance among all in an order that depends on the engine only.
    pub rank: usize,
    /// Memory of the engine, in tokens.
    pub memory_tokens: u64,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Tokens of the request itself that `own` includes; 0 before it is counted.
    pub counted_tokens: u64,
    /// Work that this instance has sent.
    pub own: Load,
    /// Work that other instances have sent, as they last told.
    pub others: Load,
}

impl EngineUse {
    /// Returns the known use of an engine with a memory of this size, by an instance of this
    /// rank.
    pub fn of(engine: &KnownEngine, memory_tokens: u64, rank: usize) -> EngineUse {
        EngineUse {
            rank,
            memory_tokens,
            slots: engine.entry.slots,
            counted_tokens: 0,
            own: engine.own,
            others: engine.others,
        }
    }

    /// Returns the tokens of this instance's other requests.
    pub fn own_tokens(&self) -> u64 {
        u64::from(self.own.memory_tokens).saturating_sub(self.counted_tokens)
    }

    /// Returns the tokens that other requests are known to take.
    pub fn used_tokens(&self) -> u64 {
        self.own_tokens() + u64::from(self.others.memory_tokens)
    }

    /// Returns the number of other requests that are known to be at the engine.
    pub fn requests(&self) -> u32 {
        let all = self.own.requests.saturating_add(self.others.requests);
        all.saturating_sub(u32::from(self.counted_tokens > 0))
    }
}
