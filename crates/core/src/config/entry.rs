use {
    super::{MergeOutcome, Write},
    crate::record::{Kind, Record, RecordError, parse},
};

/// What an instance knows of one record.
///
/// An entry is the join of every write seen: the newest write, and below a
/// refused one the newest that could be read. A join gives the same result in
/// whatever order writes come and however often, so all instances that saw
/// the same writes have the same record in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Version of the newest write seen, readable or not.
    pub version: u64,
    /// JSON text of that write, kept for peers; none if withdrawn.
    pub body: Option<String>,
    /// What is in force.
    pub state: EntryState,
    /// The newest readable write or withdrawal below a refused one.
    pub last_readable: Option<Write>,
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
    /// Returns the entry of a record's first write.
    pub(super) fn first(kind: Kind, version: u64, body: Option<&str>) -> Entry {
        Entry {
            version,
            body: body.map(str::to_owned),
            state: parse_body(kind, body),
            last_readable: None,
        }
    }

    /// Returns the version of what is in force, 0 if nothing ever was.
    pub fn version_in_force(&self) -> u64 {
        match &self.state {
            EntryState::Refused { .. } => self.last_readable.as_ref().map_or(0, |w| w.version),
            _ => self.version,
        }
    }

    /// Joins one more write.
    pub(super) fn join(&mut self, kind: Kind, version: u64, body: Option<&str>) -> MergeOutcome {
        if version > self.version {
            return self.supersede(Entry::first(kind, version, body));
        }
        if version == self.version || version <= self.version_in_force() {
            return MergeOutcome::Stale;
        }
        self.merge_older_readable(Entry::first(kind, version, body))
    }

    /// Takes a newer write. Below a refused one, what was in force stays.
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

    /// Takes a readable write that is older than the refused one.
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
