use serde::{Deserialize, Serialize};

/// A mark that an engine gets no new work, named as the engine's record. The
/// system writes it while it changes the engine's weights.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Drain {
    /// Schema number of the record.
    pub schema: u32,
    /// Model whose rollout drains the engine.
    pub model: String,
}
