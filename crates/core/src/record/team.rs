use serde::{Deserialize, Serialize};

/// A team of callers, named by its record's name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Schema number of the record.
    pub schema: u32,
    /// Priority of the team's requests: 0 is served first, 9 last.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Objective of the burn report: time to first token.
    #[serde(default = "default_first_token_ms")]
    pub first_token_ms: u64,
}

fn default_priority() -> u8 {
    5
}

fn default_first_token_ms() -> u64 {
    600
}
