use std::collections::HashSet;

/// What a request asks of placement.
#[derive(Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Model.
    pub model: &'a str,
    /// Weights version that the chain was made for.
    pub version: &'a str,
    /// Chained digests of the prompt's blocks, made with the salt of team,
    /// model and version.
    pub chain: &'a [u64],
    /// Blocks at the head of the prompt that the store of kept pieces is
    /// known to hold.
    pub kv_store_blocks: usize,
    /// Engines that must not be used: those that an earlier attempt tried,
    /// or that run another suspect of a crash.
    pub avoid: &'a HashSet<String>,
    /// Tells whether an engine may get one more request, by its breaker and
    /// its limit. It is asked for the candidates alone.
    pub is_usable: &'a dyn Fn(&str) -> bool,
    /// Time that the request has waited for its turn.
    pub waited_ms: u64,
    /// Requests that wait in this instance.
    pub queued: usize,
    /// Whether an engine without room may be chosen.
    pub force: bool,
}

/// Where a request goes, and why.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Name of the engine's record.
    pub engine: String,
    /// Start of the engine that the decision counts on.
    pub incarnation: u64,
    /// Blocks that it is believed to hold.
    pub held_blocks: usize,
    /// Blocks to import from the store of kept pieces, behind those held.
    pub import_blocks: usize,
    /// Expected time to first token.
    pub expected_ms: f64,
    /// Engines that were weighed.
    pub candidate_count: usize,
    pub(super) slot: usize,
    pub(super) generation: u32,
    pub(super) prefill_ms: f64,
    /// Expected time to first token, and what the prefill costs others.
    pub(super) cost_ms: f64,
    /// Expected time to first token if the engine is as fast as the others.
    pub(super) nominal_ms: f64,
    pub(super) held_age_ms: u64,
    pub(super) sent_ms: u64,
    pub(super) first_token: bool,
}

impl Choice {
    /// Returns whether the first token was noted.
    pub fn has_first_token(&self) -> bool {
        self.first_token
    }
}
