use {
    crate::peer::ConfigEntry,
    serde::{Deserialize, Serialize},
};

/// Records that one instance sends to another whose digest differs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision after which the entries are complete.
    pub after: u64,
    /// Revision up to which the entries are complete. Some entries may have a
    /// higher version, but the delta need not contain all of those.
    pub revision: u64,
    /// Whether the delta contains every record, so that a missing record was
    /// withdrawn. The sender has no tombstones from before its own first list,
    /// so an instance whose revision is older than that list needs the full
    /// set.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// Records, including tombstones of withdrawn ones.
    pub entries: Vec<ConfigEntry>,
}
