use serde::{Deserialize, Serialize};

/// Rate of a team over all instances together. The record has the team's name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// Schema number of the record.
    pub schema: u32,
    /// Tokens that the team may use per second, in prompts and answers together.
    pub tokens_per_s: u64,
    /// Tokens that the team may use at once after a time without requests.
    pub burst_tokens: u64,
}
