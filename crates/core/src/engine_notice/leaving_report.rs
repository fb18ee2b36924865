use {
    crate::pool::Incarnation,
    serde::{Deserialize, Serialize},
};

/// What an instance tells its peers of an engine that leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReport {
    /// ID of the engine.
    pub engine: String,
    /// When the engine started, in milliseconds of its clock.
    pub born_ms: u64,
    /// Time since the engine said that it leaves.
    pub age_ms: u32,
}

impl LeavingReport {
    /// Returns the start of the engine that the report is about.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.engine.clone(),
            born_ms: self.born_ms,
        }
    }
}
