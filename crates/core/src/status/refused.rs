use {
    crate::config::{EntryState, Store},
    serde::{Deserialize, Serialize},
};

/// A record that an instance can't put in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedRecord {
    /// Kind of the record, as text, since an old client may read kinds that it
    /// does not know.
    pub kind: String,
    /// Name of the record.
    pub name: String,
    /// Version of the refused write.
    pub version: u64,
    /// Why it was refused and how to correct it.
    pub why: String,
    /// Whether an earlier version of the record stays in force.
    pub earlier_in_force: bool,
}

impl RefusedRecord {
    /// Returns all refused records of a store.
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
