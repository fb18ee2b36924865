use serde::{Deserialize, Serialize};

/// One write of a record, with the version that the platform assigned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Version that the platform assigned.
    pub version: u64,
    /// JSON text of the body; `None` if the record was withdrawn.
    pub body: Option<String>,
}
