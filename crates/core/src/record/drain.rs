use serde::{Deserialize, Serialize};

/// Marks an engine that gets no new work. It has the name of the engine's
/// record. The system writes it while it changes the engine's weights.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Drain {
    /// Schema number of the record.
    pub schema: u32,
    /// Name of the model whose rollout drains the engine.
    pub model: String,
}
