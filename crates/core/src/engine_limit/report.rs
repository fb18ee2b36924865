use {
    crate::pool::Incarnation,
    serde::{Deserialize, Serialize},
};

/// What an instance tells its peers of the limit of an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineLimitReport {
    /// ID of the engine.
    pub engine: String,
    /// When the engine started, in milliseconds of its clock.
    pub born_ms: u64,
    /// Requests a second; `None` for no limit.
    pub per_s: Option<f64>,
    /// Time since the engine said so.
    pub age_ms: u32,
}

impl EngineLimitReport {
    /// Returns the start of the engine that the report is about.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.engine.clone(),
            born_ms: self.born_ms,
        }
    }
}
