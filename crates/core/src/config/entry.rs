use {
    super::{MergeOutcome, Write},
    crate::record::{Kind, Record, RecordError, parse},
};

/// State of one record at an instance.
///
/// An entry is the join of all writes that the instance has received: the
/// newest write and, if that one was refused, the newest readable one. The
/// result does not depend on the order of the writes or on duplicates, so all
/// instances that received the same writes have the same record in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Version of the newest write received, readable or not.
    pub version: u64,
    /// JSON text of the newest write, kept for peers; `None` if the record is
    /// withdrawn.
    pub body: Option<String>,
    /// What of the record is in force.
    pub state: EntryState,
    /// The newest readable write or withdrawal, if the newest write was
    /// refused.
    pub last_readable: Option<Write>,
}

/// What of a record is in force.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryState {
    /// The newest write is in force.
    InForce(Record),
    /// The record was withdrawn. The tombstone stays, so that an older write
    /// that arrives late is recognized as older.
    Withdrawn,
    /// The newest write was refused. The last readable write stays in force.
    Refused {
        /// Why the write was refused, and what would correct it.
        error: RecordError,
        /// The record in force; `None` if no earlier write was readable.
        last_readable: Option<Record>,
    },
}

impl EntryState {
    /// Returns the record in force, if any.
    pub fn record(&self) -> Option<&Record> {
        match self {
            EntryState::InForce(record) => Some(record),
            EntryState::Withdrawn => None,
            EntryState::Refused { last_readable, .. } => last_readable.as_ref(),
        }
    }
}

impl Entry {
    /// Returns the entry for the first write of a record.
    pub(super) fn first(kind: Kind, version: u64, body: Option<&str>) -> Entry {
        Entry {
            version,
            body: body.map(str::to_owned),
            state: parse_body(kind, body),
            last_readable: None,
        }
    }

    /// Returns the version of the write in force; 0 if there never was one.
    pub fn version_in_force(&self) -> u64 {
        match &self.state {
            EntryState::Refused { .. } => self.last_readable.as_ref().map_or(0, |w| w.version),
            _ => self.version,
        }
    }

    /// Merges one more write or withdrawal.
    pub(super) fn join(&mut self, kind: Kind, version: u64, body: Option<&str>) -> MergeOutcome {
        if version > self.version {
            return self.supersede(Entry::first(kind, version, body));
        }
        if version == self.version || version <= self.version_in_force() {
            return MergeOutcome::Stale;
        }
        self.merge_older_readable(Entry::first(kind, version, body))
    }

    /// Replaces the entry by a newer write. If that one is refused, the record
    /// in force stays in force.
    fn supersede(&mut self, newer: Entry) -> MergeOutcome {
        let older = std::mem::replace(self, newer);
        let EntryState::Refused { last_readable, .. } = &mut self.state else {
            return MergeOutcome::Applied;
        };
        *last_readable = older.state.record().cloned();
        self.last_readable = match older.state {
            EntryState::Refused { .. } => older.last_readable,
            _ => Some(Write {
                version: older.version,
                body: older.body,
            }),
        };
        MergeOutcome::Refused
    }

    /// Merges a readable write that is older than the refused one and newer
    /// than the record in force.
    fn merge_older_readable(&mut self, older: Entry) -> MergeOutcome {
        let EntryState::Refused { last_readable, .. } = &mut self.state else {
            return MergeOutcome::Stale;
        };
        if matches!(older.state, EntryState::Refused { .. }) {
            return MergeOutcome::Stale;
        }
        *last_readable = older.state.record().cloned();
        self.last_readable = Some(Write {
            version: older.version,
            body: older.body,
        });
        MergeOutcome::Applied
    }
}

fn parse_body(kind: Kind, body: Option<&str>) -> EntryState {
    let Some(text) = body else {
        return EntryState::Withdrawn;
    };
    let parsed = serde_json::from_str(text)
        .map_err(|e| RecordError::Shape {
            detail: e.to_string(),
        })
        .and_then(|body| parse(kind, &body));
    match parsed {
        Ok(record) => EntryState::InForce(record),
        Err(error) => EntryState::Refused {
            error,
            last_readable: None,
        },
    }
}
