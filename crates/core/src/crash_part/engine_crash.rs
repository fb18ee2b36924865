use {
    crate::pool::EngineRequirements,
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// Maximum number of parts of one prompt that are reported: callers may send any number.
const MAX_PARTS: usize = 16;

/// Maximum number of prompts in one report, so that it fits a datagram.
const MAX_PROMPTS: usize = 32;

/// A crash of an engine, with the requests that it may have begun to answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCrash {
    /// Service of the engine.
    pub service: String,
    /// Identity of the crash, the same at all instances.
    pub crash: u64,
    /// Time since the engine lost its requests, in milliseconds.
    pub age_ms: u64,
    /// The shared parts of each request, in order.
    pub prompts: BTreeSet<Vec<u64>>,
}

impl EngineCrash {
    /// Adds a request's shared parts, unless the report is full.
    pub fn add_prompt(&mut self, parts: &[u64]) {
        if !parts.is_empty() && self.prompts.len() < MAX_PROMPTS {
            self.prompts.insert(parts.to_vec());
        }
    }
}

/// Returns the shared parts of a prompt that are reported with a crash, in order: of a long
/// one the first, which many requests share, and the last, which few do.
pub fn reported_parts(requirements: &EngineRequirements) -> Vec<u64> {
    let mut parts: Vec<u64> = requirements.shared_part_ids().collect();
    let excess = parts.len().saturating_sub(MAX_PARTS);
    let from = (MAX_PARTS / 2).min(parts.len());
    parts.drain(from..from + excess);
    parts
}
