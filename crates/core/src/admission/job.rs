use std::collections::HashSet;

/// A request to be sent to an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Number of the request within this instance.
    pub id: u64,
    /// Name of the team.
    pub team: String,
    /// Weight of the team's share of the engines: its rate. Only the ratio
    /// between teams matters.
    pub weight: f64,
    /// Priority: 0 is served first, 9 last.
    pub priority: u8,
    /// Tokens of prompt and answer together.
    pub tokens: u64,
    /// Time at which the request arrived.
    pub arrived_ms: u64,
    /// Maximum time to first token that the caller accepts, in milliseconds from
    /// its arrival; `None` if the caller set none.
    pub deadline_ms: Option<u64>,
    /// Name of the model.
    pub model: String,
    /// Version of the weights.
    pub version: String,
    /// Chained digests of the prompt's blocks.
    pub chain: Vec<u64>,
    /// Engines that must not run this request, because they already run another
    /// request suspected of crashing engines.
    pub avoid: HashSet<String>,
    /// Number of the prompt's blocks that the KV cache store is known to hold.
    pub cache_store_blocks: usize,
}
