use std::collections::HashSet;

/// A request that is to be sent to an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Number of the request within this instance.
    pub id: u64,
    /// Team.
    pub team: String,
    /// The team's share of the engines, in any unit; its rate.
    pub weight: f64,
    /// Priority: 0 is served first, 9 last.
    pub priority: u8,
    /// Tokens of prompt and answer together.
    pub tokens: u64,
    /// When the request came.
    pub arrived_ms: u64,
    /// Longest time to first token that the caller accepts, from its arrival;
    /// none if it did not say.
    pub deadline_ms: Option<u64>,
    /// Model.
    pub model: String,
    /// Weights version.
    pub version: String,
    /// Chained digests of the prompt's blocks.
    pub chain: Vec<u64>,
    /// Engines that must not run it, as they run another suspect of a crash.
    pub avoid: HashSet<String>,
    /// Blocks that the store of kept pieces is known to hold.
    pub stored_blocks: usize,
}
