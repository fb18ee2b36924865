use {
    crate::config::{EntryState, Store},
    serde::{Deserialize, Serialize},
};

/// A record that an instance can't put in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedRecord {
    /// Kind. Text, since an old client may meet kinds that it doesn't know.
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

impl RefusedRecord {
    /// Returns every record of a store that is refused.
    pub fn of(store: &Store) -> Vec<RefusedRecord> {
        store
            .entries()
            .filter_map(|(kind, name, entry)| {
                let EntryState::Refused {
                    error,
                    last_readable,
                } = &entry.state
                else {
                    return None;
                };
                Some(RefusedRecord {
                    kind: kind.to_string(),
                    name: name.to_owned(),
                    version: entry.version,
                    why: error.to_string(),
                    earlier_in_force: last_readable.is_some(),
                })
            })
            .collect()
    }
}
