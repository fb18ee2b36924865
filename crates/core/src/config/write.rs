use serde::{Deserialize, Serialize};

/// One write of a record, as the platform numbered it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Version on the platform.
    pub version: u64,
    /// JSON text of the body; none if the record was withdrawn.
    pub body: Option<String>,
}
