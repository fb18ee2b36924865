use serde::{Deserialize, Serialize};

/// What an instance tells its peers of the pace of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReport {
    /// Short hash of the start of the engine; see [`crate::pool::Incarnation::short_hash`].
    pub start: u32,
    /// Time that work takes at the engine, in percent of the usual time.
    pub pace_percent: u32,
    /// Time since the engine said so.
    pub age_ms: u32,
}
