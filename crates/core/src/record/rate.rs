use serde::{Deserialize, Serialize};

/// A team's rate over all instances together, named as the team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// Schema number of the record.
    pub schema: u32,
    /// Tokens that the team may use in a second, prompt and answer together.
    pub tokens_per_s: u64,
    /// Tokens that the team may use at once after a quiet time.
    pub burst_tokens: u64,
}
