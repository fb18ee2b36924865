use serde::{Deserialize, Serialize};

/// What an instance tells its peers of its paths to the engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PathReport {
    /// Name of the instance.
    pub name: String,
    /// Identifies one start of the instance; it grows with each start.
    pub incarnation: u64,
    /// Time since the instance started, by which an older report is recognised.
    pub up_ms: u64,
    /// Services of whose engines it reaches none, or less than half.
    pub cut_services: Vec<String>,
    /// Time for which the report holds.
    pub valid_ms: u32,
}
