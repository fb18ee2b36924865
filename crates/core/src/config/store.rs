use {
    super::{Delta, Digest, Entry, EntryState, Write},
    crate::{
        peer::ConfigEntry,
        platform::{Change, ListReply, WatchReply},
        record::Kind,
    },
    std::collections::{BTreeMap, HashSet},
};

/// Result of a merge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The write was merged and is in force.
    Applied,
    /// The write was newer, but its body is no valid record; the earlier record
    /// stays in force.
    Refused,
    /// The write was not newer than the stored one.
    Stale,
    /// The kind of the object is not a kind of record.
    Ignored,
}

/// Every record that the instance knows, tombstones included.
#[derive(Debug, Clone, Default)]
pub struct Store {
    entries: BTreeMap<(Kind, String), Entry>,
    revision: u64,
    /// Revision of the last full set that raised the revision of this store.
    /// Records withdrawn at or before it may have no tombstone here.
    tombstones_since: u64,
    /// XOR of the hashes of all entries.
    hash: u64,
}

impl Store {
    /// Returns the revision up to which every record is stored.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns every entry, ordered by kind and name.
    pub fn entries(&self) -> impl Iterator<Item = (Kind, &str, &Entry)> {
        self.entries.iter().map(|((k, n), e)| (*k, n.as_str(), e))
    }

    /// Returns the entry of a record; `None` if no write of it was merged.
    pub fn entry(&self, kind: Kind, name: &str) -> Option<&Entry> {
        self.entries.get(&(kind, name.to_owned()))
    }

    /// Merges one write, given as JSON text, or a withdrawal (`None`).
    ///
    /// Only a higher version than the stored one is merged, since a replayed
    /// watch, a lagging list or an outdated peer could otherwise restore a
    /// withdrawn API key. Versions are assigned by the platform alone, so comparing
    /// them is enough.
    ///
    /// For a record that is not stored, or stored as withdrawn, only a write
    /// after the store's own revision is merged. The store is complete up to
    /// that revision, so the record of an older write was withdrawn since. The
    /// version alone would not show this, because a list has no tombstones.
    pub fn merge(
        &mut self,
        kind: &str,
        name: &str,
        version: u64,
        body: Option<&str>,
    ) -> MergeOutcome {
        self.merge_above(self.revision, kind, name, version, body)
    }

    /// Merges one write like [`Store::merge`]. For a record that is not stored,
    /// or stored as withdrawn, only a write after `floor` is merged.
    fn merge_above(
        &mut self,
        floor: u64,
        kind: &str,
        name: &str,
        version: u64,
        body: Option<&str>,
    ) -> MergeOutcome {
        let Some(kind) = Kind::from_name(kind) else {
            return MergeOutcome::Ignored;
        };
        let stored = self.entries.get_mut(&(kind, name.to_owned()));
        let is_live = |e: &Entry| e.state != EntryState::Withdrawn;
        if version <= floor && !stored.as_deref().is_some_and(is_live) {
            return MergeOutcome::Stale;
        }
        if let Some(stored) = stored {
            let before = entry_hash(kind, name, stored);
            let outcome = stored.join(kind, version, body);
            self.hash ^= before ^ entry_hash(kind, name, stored);
            return outcome;
        }
        let mut entry = Entry::first(kind, version, body);
        let outcome = match entry.state {
            EntryState::Refused { .. } => MergeOutcome::Refused,
            _ => MergeOutcome::Applied,
        };
        if outcome == MergeOutcome::Refused && floor > 0 {
            // The record did not exist at the floor. Without this withdrawal as
            // the last readable write, an older readable write from a peer
            // would come into force.
            entry.last_readable = Some(Write {
                version: floor,
                body: None,
            });
        }
        self.hash ^= entry_hash(kind, name, &entry);
        self.entries.insert((kind, name.to_owned()), entry);
        outcome
    }

    /// Merges one change from a watch.
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

    /// Merges the answer to a watch that started at a revision which this store
    /// had reached.
    /// Returns the number of refused records.
    pub fn merge_watch(&mut self, reply: &WatchReply) -> usize {
        let refused = reply
            .changes
            .iter()
            .filter(|change| self.merge_change(change) == MergeOutcome::Refused)
            .count();
        self.advance(reply.revision);
        refused
    }

    /// Merges a complete list and returns the number of records that changed.
    ///
    /// A list that is older than the store's own revision is ignored: it lags,
    /// and records that are in the list but not in the store were withdrawn
    /// after it. For any other list, a stored record that is missing in it was
    /// withdrawn.
    pub fn merge_list(&mut self, list: &ListReply) -> usize {
        if list.revision < self.revision {
            return 0;
        }
        let mut changed = 0;
        let mut present = HashSet::new();
        for object in &list.objects {
            let text = object.body.to_string();
            let key = &object.key;
            present.insert((key.kind.as_str(), key.name.as_str()));
            let outcome = self.merge_above(0, &key.kind, &key.name, object.version, Some(&text));
            changed += usize::from(outcome == MergeOutcome::Applied);
        }
        changed + self.adopt_full(list.revision, &present)
    }

    /// Adopts the revision of a full set of records and withdraws the stored
    /// records that are missing in it. `present` holds the kinds and names of the
    /// records in the set. Returns the number of withdrawn records.
    ///
    /// The tombstone gets the revision of the full set as its version. The
    /// withdrawal happened at or before that revision, so every write up to it
    /// is older than the withdrawal, and every later write is newer.
    fn adopt_full(&mut self, revision: u64, present: &HashSet<(&str, &str)>) -> usize {
        let mut withdrawn = 0;
        for ((kind, name), entry) in &mut self.entries {
            let is_live = entry.state != EntryState::Withdrawn && entry.version <= revision;
            if is_live && !present.contains(&(kind.to_string().as_str(), name.as_str())) {
                self.hash ^= entry_hash(*kind, name, entry);
                *entry = Entry::first(*kind, revision, None);
                withdrawn += 1;
            }
        }
        if revision > self.revision {
            self.tombstones_since = revision;
        }
        self.advance(revision);
        withdrawn
    }

    /// Raises the revision after all writes up to it have been merged.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Merges a record of a peer.
    pub fn merge_peer(&mut self, entry: &ConfigEntry) -> MergeOutcome {
        self.merge_peer_above(self.revision, entry)
    }

    fn merge_peer_above(&mut self, floor: u64, entry: &ConfigEntry) -> MergeOutcome {
        let (kind, name) = (entry.kind.as_str(), entry.name.as_str());
        let body = entry.body.as_deref();
        let outcome = self.merge_above(floor, kind, name, entry.version, body);
        let Some(last) = &entry.last_readable else {
            return outcome;
        };
        match self.merge_above(floor, kind, name, last.version, last.body.as_deref()) {
            MergeOutcome::Applied => MergeOutcome::Applied,
            _ => outcome,
        }
    }

    /// Merges the delta of a peer and returns the number of records that
    /// changed.
    ///
    /// The peer's revision is adopted only if the entries leave no gap after
    /// the store's own revision. Otherwise the writes in the gap would be lost
    /// for good, because the next watch starts after the adopted revision.
    pub fn merge_delta(&mut self, delta: &Delta) -> usize {
        let is_full = delta.is_full && delta.revision >= self.revision;
        let floor = if is_full { 0 } else { self.revision };
        let mut changed = 0;
        let mut present = HashSet::new();
        for entry in &delta.entries {
            // A tombstone in a full delta does not count as present. It may be
            // older than the write stored here: the record was written and
            // withdrawn again between two lists of the sender, which saw
            // neither.
            if entry.body.is_some() {
                present.insert((entry.kind.as_str(), entry.name.as_str()));
            }
            let outcome = self.merge_peer_above(floor, entry);
            changed += usize::from(outcome == MergeOutcome::Applied);
        }
        if is_full {
            return changed + self.adopt_full(delta.revision, &present);
        }
        if !delta.is_full && delta.after <= self.revision {
            self.advance(delta.revision);
        }
        changed
    }

    /// Returns the digest of the stored records.
    pub fn digest(&self) -> Digest {
        Digest {
            revision: self.revision,
            hash: self.hash,
        }
    }

    /// Returns the records that the instance with this digest may lack; no
    /// entries if the digests are equal. Entries with a last readable write are
    /// always included.
    pub fn delta_for(&self, digest: &Digest) -> Delta {
        let is_full = digest.revision < self.tombstones_since;
        let mut delta = Delta {
            after: digest.revision,
            revision: self.revision,
            is_full,
            entries: Vec::new(),
        };
        if *digest != self.digest() {
            delta.entries = self
                .entries
                .iter()
                .filter(|(_, e)| {
                    is_full || e.version > digest.revision || e.last_readable.is_some()
                })
                .map(|((kind, name), e)| wire_entry(*kind, name, e))
                .collect();
        }
        delta
    }
}

/// Returns the hash of one entry; 0 for a withdrawn one. The digest combines
/// the hashes by XOR, so that a change of one entry does not need the hashes of
/// all others.
fn entry_hash(kind: Kind, name: &str, entry: &Entry) -> u64 {
    if entry.state == EntryState::Withdrawn {
        return 0;
    }
    let mut hasher = blake3::Hasher::new();
    hasher.update(&[kind as u8]);
    hasher.update(&entry.version.to_le_bytes());
    hasher.update(&entry.version_in_force().to_le_bytes());
    hasher.update(name.as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}

fn wire_entry(kind: Kind, name: &str, entry: &Entry) -> ConfigEntry {
    ConfigEntry {
        kind: kind.to_string(),
        name: name.to_owned(),
        version: entry.version,
        body: entry.body.clone(),
        last_readable: entry.last_readable.clone(),
    }
}
