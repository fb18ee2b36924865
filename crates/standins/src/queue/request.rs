use std::sync::Arc;

/// One request of a workload.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) id: u64,
    pub(super) team: usize,
    pub(super) instance: usize,
    pub(super) at_us: u64,
    pub(super) chain: Arc<[u64]>,
    /// Blocks of the two shared levels.
    pub(super) shared_blocks: usize,
    pub(super) answer_tokens: u64,
    /// Whether it lies within its team's rate and burst.
    pub(super) in_rate: bool,
}

impl Request {
    /// Returns the tokens that the request reserves.
    pub(super) fn tokens(&self) -> u64 {
        self.chain.len() as u64 * 64 + self.answer_tokens
    }
}
