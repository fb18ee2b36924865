use {
    crate::platform::{ObjectKey, own_kind},
    serde::{Deserialize, Serialize},
};

/// Why a record is not in force, as an object on the platform.
///
/// It speaks of one version of the record. Once the record is newer the status
/// is out of date, whether or not an instance has removed it yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordStatus {
    /// Schema number of this object.
    pub schema: u32,
    /// Version of the record that was refused.
    pub version: u64,
    /// Why, and what would mend it.
    pub why: String,
    /// Whether an earlier write stays in force.
    pub earlier_in_force: bool,
    /// Instance that refused it first, by its address towards callers.
    pub instance: String,
}

impl RecordStatus {
    /// The schema number that this build writes.
    pub const SCHEMA: u32 = 1;

    /// Returns the identity of the status of a record.
    pub fn key(kind: &str, name: &str) -> ObjectKey {
        ObjectKey::new(own_kind::STATUS, &format!("{kind}.{name}"))
    }

    /// Returns the status in words.
    pub fn text(&self) -> String {
        let earlier = if self.earlier_in_force {
            "the write before it stays in force"
        } else {
            "nothing is in force"
        };
        format!(
            "Version {} was refused by {}, {earlier}. {}",
            self.version, self.instance, self.why
        )
    }
}
