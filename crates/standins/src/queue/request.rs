use std::sync::Arc;

/// One request of a workload.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) id: u64,
    pub(super) team: usize,
    /// Instance at which the request arrives.
    pub(super) instance: usize,
    pub(super) at_us: u64,
    /// Hashes of the prompt's blocks.
    pub(super) chain: Arc<[u64]>,
    /// Number of blocks at the start of `chain` that requests share: outer and
    /// inner prefix.
    pub(super) shared_blocks: usize,
    pub(super) answer_tokens: u64,
    /// Whether the request is within its team's rate and burst.
    pub(super) in_rate: bool,
}

impl Request {
    /// Returns the tokens that the request takes from its team's rate: prompt
    /// and answer.
    pub(super) fn tokens(&self) -> u64 {
        self.chain.len() as u64 * 64 + self.answer_tokens
    }
}
