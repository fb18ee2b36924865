use serde::{Deserialize, Serialize};

/// A team of callers. The team's name is the record's name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Schema number of the record.
    pub schema: u32,
    /// Priority of the team's requests, from 0 (served first) to 9.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Objective of the burn report for the time to first token, in milliseconds.
    #[serde(default = "default_first_token_ms")]
    pub first_token_ms: u64,
}

fn default_priority() -> u8 {
    5
}

fn default_first_token_ms() -> u64 {
    600
}
