use std::collections::HashSet;

/// A request as placement sees it.
#[derive(Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Model that the request names.
    pub model: &'a str,
    /// Weights version that `chain` was computed for.
    pub version: &'a str,
    /// Chained digests of the blocks of the prompt, salted with team, model and
    /// version.
    pub chain: &'a [u64],
    /// Leading blocks of the prompt that the KV cache store is known to hold.
    pub cache_store_blocks: usize,
    /// Engines that must not be used: those that an earlier attempt tried, and
    /// those that run another request suspected of causing a crash.
    pub avoid: &'a HashSet<String>,
    /// Returns whether an engine may get one more request, by its circuit
    /// breaker and its limit. Called for candidates only.
    pub is_usable: &'a dyn Fn(&str) -> bool,
    /// Time that the request has spent in the queue.
    pub waited_ms: u64,
    /// Requests in the queue of this instance.
    pub queued: usize,
    /// Whether an engine without a free slot may be chosen.
    pub force: bool,
}

/// The engine chosen for a request, and the estimates behind the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Name of the record of the engine.
    pub engine: String,
    /// Incarnation of the engine that the estimates refer to.
    pub incarnation: u64,
    /// Leading blocks of the prompt that the engine is known to have cached.
    pub held_blocks: usize,
    /// Blocks to import from the KV cache store, following the held ones.
    pub import_blocks: usize,
    /// Expected time to first token.
    pub expected_ms: f64,
    /// Number of engines that were compared.
    pub candidate_count: usize,
    pub(super) slot: usize,
    pub(super) generation: u32,
    pub(super) prefill_ms: f64,
    /// Expected time to first token plus the delay that the prefill causes to
    /// other requests.
    pub(super) cost_ms: f64,
    /// Expected time to first token without the slowness of the engine and the
    /// network distance to it.
    pub(super) nominal_ms: f64,
    pub(super) held_age_ms: u64,
    pub(super) sent_ms: u64,
    pub(super) first_token: bool,
}

impl Choice {
    /// Returns whether the first token has been recorded.
    pub fn has_first_token(&self) -> bool {
        self.first_token
    }
}
