use {
    super::{Entry, EntryState},
    crate::{
        peer::ConfigEntry,
        platform::{Change, ListReply, ObjectKey},
        record::{Kind, RecordError, parse},
    },
    std::collections::{BTreeMap, HashSet},
};

/// What a merge did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The write was newer and is in force.
    Taken,
    /// The write was newer and was refused; the record before it stays.
    Refused,
    /// The write was not newer than what is held.
    Stale,
    /// The object is no record.
    Ignored,
}

/// Every record that the instance knows, tombstones included.
#[derive(Debug, Clone, Default)]
pub struct Store {
    entries: BTreeMap<(Kind, String), Entry>,
    revision: u64,
}

impl Store {
    /// Returns the revision up to which every record is held.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns every entry, in the order of kind and name.
    pub fn entries(&self) -> impl Iterator<Item = (Kind, &str, &Entry)> {
        self.entries.iter().map(|((k, n), e)| (*k, n.as_str(), e))
    }

    /// Returns one entry.
    pub fn entry(&self, kind: Kind, name: &str) -> Option<&Entry> {
        self.entries.get(&(kind, name.to_owned()))
    }

    /// Merges one write, given as JSON text, or a withdrawal.
    ///
    /// Only a higher version than the one held is taken. A replayed watch, a
    /// lagging list or an old peer would otherwise bring a withdrawn key
    /// back; versions are given by the platform alone, so comparing them is
    /// enough.
    pub fn merge(
        &mut self,
        kind: &str,
        name: &str,
        version: u64,
        body: Option<&str>,
    ) -> MergeOutcome {
        let Some(kind) = Kind::from_name(kind) else {
            return MergeOutcome::Ignored;
        };
        let held = self.entries.get(&(kind, name.to_owned()));
        if held.is_some_and(|e| e.version >= version) {
            return MergeOutcome::Stale;
        }
        let state = match body {
            None => EntryState::Withdrawn,
            Some(text) => read(kind, text, held),
        };
        let outcome = match state {
            EntryState::Refused { .. } => MergeOutcome::Refused,
            _ => MergeOutcome::Taken,
        };
        let entry = Entry {
            version,
            body: body.map(str::to_owned),
            state,
        };
        self.entries.insert((kind, name.to_owned()), entry);
        outcome
    }

    /// Merges one change that a watch reported.
    pub fn merge_change(&mut self, change: &Change) -> MergeOutcome {
        match change {
            Change::Put(object) => self.merge(
                &object.key.kind,
                &object.key.name,
                object.version,
                Some(&object.body.to_string()),
            ),
            Change::Delete { key, version } => self.merge(&key.kind, &key.name, *version, None),
        }
    }

    /// Merges a complete list, and returns how many records it changed.
    ///
    /// A record that the list lacks was withdrawn, but only if the list was
    /// read after the version held: a lagging list lacks what is newer.
    pub fn merge_list(&mut self, list: &ListReply) -> usize {
        let mut changed = 0;
        let mut seen = HashSet::new();
        for object in &list.objects {
            seen.insert(&object.key);
            let outcome = self.merge_change(&Change::Put(object.clone()));
            changed += usize::from(outcome == MergeOutcome::Taken);
        }
        let gone: Vec<(Kind, String)> = self
            .entries
            .iter()
            .filter(|(_, e)| e.state != EntryState::Withdrawn && e.version <= list.revision)
            .filter(|((k, n), _)| !seen.contains(&ObjectKey::new(&k.to_string(), n)))
            .map(|(key, _)| key.clone())
            .collect();
        for (kind, name) in gone {
            self.withdraw_missing(kind, &name, list.revision);
            changed += 1;
        }
        self.advance(list.revision);
        changed
    }

    fn withdraw_missing(&mut self, kind: Kind, name: &str, revision: u64) {
        if let Some(entry) = self.entries.get_mut(&(kind, name.to_owned())) {
            entry.version = revision;
            entry.body = None;
            entry.state = EntryState::Withdrawn;
        }
    }

    /// Notes that every write up to the revision has been merged.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Merges a record that a peer holds.
    pub fn merge_peer(&mut self, entry: &ConfigEntry) -> MergeOutcome {
        self.merge(
            &entry.kind,
            &entry.name,
            entry.version,
            entry.body.as_deref(),
        )
    }

    /// Returns the records newer than a peer's revision.
    pub fn newer_than(&self, revision: u64) -> Vec<ConfigEntry> {
        self.entries
            .iter()
            .filter(|(_, e)| e.version > revision)
            .map(|((kind, name), e)| ConfigEntry {
                kind: kind.to_string(),
                name: name.clone(),
                version: e.version,
                body: e.body.clone(),
            })
            .collect()
    }
}

fn read(kind: Kind, text: &str, held: Option<&Entry>) -> EntryState {
    let parsed = serde_json::from_str(text)
        .map_err(|e| RecordError::Shape {
            detail: e.to_string(),
        })
        .and_then(|body| parse(kind, &body));
    match parsed {
        Ok(record) => EntryState::InForce(record),
        Err(error) => EntryState::Refused {
            error,
            last: held.and_then(|e| e.state.record()).cloned(),
        },
    }
}
