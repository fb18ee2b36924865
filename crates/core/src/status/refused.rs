use serde::{Deserialize, Serialize};

/// A record that an instance can't put in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedRecord {
    /// Kind.
    pub kind: String,
    /// Name.
    pub name: String,
    /// Version of the refused write.
    pub version: u64,
    /// Why, and what would mend it.
    pub why: String,
    /// Whether an earlier write stays in force.
    pub earlier_in_force: bool,
}
