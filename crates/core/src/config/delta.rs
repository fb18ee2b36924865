use {
    crate::peer::ConfigEntry,
    serde::{Deserialize, Serialize},
};

/// What one instance sends to another that holds less or something else.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision from which on the entries are complete.
    pub after: u64,
    /// Revision up to which the entries are complete. Entries with a higher
    /// version may be among them, and others missing.
    pub revision: u64,
    /// Whether every record is among the entries, so that a record that is
    /// missing was withdrawn. The sender knows no tombstones from before its
    /// own first list; an asker from before it needs the whole.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// Records, withdrawn ones included.
    pub entries: Vec<ConfigEntry>,
}
