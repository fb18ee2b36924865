use crate::record::{Record, RecordError};

/// What an instance knows of one record.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Version of the newest write seen, readable or not.
    pub version: u64,
    /// JSON text of that write, kept for peers; none if withdrawn.
    pub body: Option<String>,
    /// What is in force.
    pub state: EntryState,
}

/// What of a record is in force.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryState {
    /// The newest write.
    InForce(Record),
    /// The record was withdrawn; the tombstone stays, so that an older write
    /// that comes late is known to be older.
    Withdrawn,
    /// The newest write was refused. What was readable last stays in force.
    Refused {
        /// Why, and what would mend it.
        error: RecordError,
        /// The last readable write, unless there was none.
        last: Option<Record>,
    },
}

impl EntryState {
    /// Returns the record in force, if any.
    pub fn record(&self) -> Option<&Record> {
        match self {
            EntryState::InForce(record) => Some(record),
            EntryState::Withdrawn => None,
            EntryState::Refused { last, .. } => last.as_ref(),
        }
    }
}
