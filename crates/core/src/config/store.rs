use {
    super::{Delta, Digest, Entry, EntryState, Write},
    crate::{
        peer::ConfigEntry,
        platform::{Change, ListReply, WatchReply},
        record::Kind,
    },
    std::collections::{BTreeMap, HashSet},
};

/// What a merge did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The write was newer and is in force.
    Applied,
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
    tombstones_since: u64,
    hash: u64,
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
    ///
    /// Of a record that is not held, or held as withdrawn, only a write after
    /// the own revision is taken: the store is complete up to that revision,
    /// so an older write was withdrawn since. Its version alone would not
    /// show it, because a list brings no tombstones.
    pub fn merge(
        &mut self,
        kind: &str,
        name: &str,
        version: u64,
        body: Option<&str>,
    ) -> MergeOutcome {
        self.merge_above(self.revision, kind, name, version, body)
    }

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
        let held = self.entries.get_mut(&(kind, name.to_owned()));
        let is_live = |e: &Entry| e.state != EntryState::Withdrawn;
        if version <= floor && !held.as_deref().is_some_and(is_live) {
            return MergeOutcome::Stale;
        }
        if let Some(held) = held {
            let before = entry_hash(kind, name, held);
            let outcome = held.join(kind, version, body);
            self.hash ^= before ^ entry_hash(kind, name, held);
            return outcome;
        }
        let mut entry = Entry::first(kind, version, body);
        let outcome = match entry.state {
            EntryState::Refused { .. } => MergeOutcome::Refused,
            _ => MergeOutcome::Applied,
        };
        if outcome == MergeOutcome::Refused && floor > 0 {
            // The record did not exist at the floor. Without this note a peer's
            // last readable write from before would count as in force.
            entry.last_readable = Some(Write {
                version: floor,
                body: None,
            });
        }
        self.hash ^= entry_hash(kind, name, &entry);
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

    /// Merges a watch's answer, which was asked for after a revision that
    /// this store had. Returns how many records were refused.
    pub fn merge_watch(&mut self, reply: &WatchReply) -> usize {
        let refused = reply
            .changes
            .iter()
            .filter(|change| self.merge_change(change) == MergeOutcome::Refused)
            .count();
        self.advance(reply.revision);
        refused
    }

    /// Merges a complete list, and returns how many records it changed.
    ///
    /// A list older than the own revision brings nothing: it is a lagging
    /// one, and what it shows beyond the store was withdrawn since. In any
    /// other, a record that is missing was withdrawn.
    pub fn merge_list(&mut self, list: &ListReply) -> usize {
        if list.revision < self.revision {
            return 0;
        }
        let mut changed = 0;
        let mut seen = HashSet::new();
        for object in &list.objects {
            let text = object.body.to_string();
            let key = &object.key;
            seen.insert((key.kind.as_str(), key.name.as_str()));
            let outcome = self.merge_above(0, &key.kind, &key.name, object.version, Some(&text));
            changed += usize::from(outcome == MergeOutcome::Applied);
        }
        changed + self.adopt_full(list.revision, &seen)
    }

    /// Takes the revision of a whole, and withdraws what the whole lacks.
    ///
    /// The tombstone gets the whole's revision as its version. The withdrawal
    /// came at or before it, so every write up to it is older than the
    /// withdrawal, and every later write is newer.
    fn adopt_full(&mut self, revision: u64, seen: &HashSet<(&str, &str)>) -> usize {
        let mut changed = 0;
        for ((kind, name), entry) in &mut self.entries {
            let live = entry.state != EntryState::Withdrawn && entry.version <= revision;
            if live && !seen.contains(&(kind.to_string().as_str(), name.as_str())) {
                self.hash ^= entry_hash(*kind, name, entry);
                *entry = Entry::first(*kind, revision, None);
                changed += 1;
            }
        }
        if revision > self.revision {
            self.tombstones_since = revision;
        }
        self.advance(revision);
        changed
    }

    /// Notes that every write up to the revision has been merged.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Merges a record that a peer holds.
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

    /// Merges what a peer sent, and returns how many records it changed.
    ///
    /// The peer's revision is taken only where its entries join without a gap
    /// onto what is held. Taking it in any other case would skip the writes
    /// in the gap for good, because the next watch starts behind it.
    pub fn merge_delta(&mut self, delta: &Delta) -> usize {
        let is_full = delta.is_full && delta.revision >= self.revision;
        let floor = if is_full { 0 } else { self.revision };
        let mut changed = 0;
        let mut seen = HashSet::new();
        for entry in &delta.entries {
            // A tombstone in a whole may be older than the write held here: the
            // sender did not see a rewrite and its withdrawal between two lists.
            if entry.body.is_some() {
                seen.insert((entry.kind.as_str(), entry.name.as_str()));
            }
            let outcome = self.merge_peer_above(floor, entry);
            changed += usize::from(outcome == MergeOutcome::Applied);
        }
        if is_full {
            return changed + self.adopt_full(delta.revision, &seen);
        }
        if !delta.is_full && delta.after <= self.revision {
            self.advance(delta.revision);
        }
        changed
    }

    /// Returns the digest of what is held.
    pub fn digest(&self) -> Digest {
        Digest {
            revision: self.revision,
            hash: self.hash,
        }
    }

    /// Returns what the holder of a digest may lack; nothing if it holds the
    /// same.
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

/// Hash of one entry; 0 for a withdrawn one. The digest joins them by
/// exclusive or, so that a change costs one hash and not one a record.
fn entry_hash(kind: Kind, name: &str, entry: &Entry) -> u64 {
    if entry.state == EntryState::Withdrawn {
        return 0;
    }
    let mut hasher = blake3::Hasher::new();
    hasher.update(&[kind as u8]);
    hasher.update(&entry.version.to_le_bytes());
    hasher.update(&entry.version_in_force().to_le_bytes());
    hasher.update(name.as_bytes());
    let mut first = [0; 8];
    hasher.finalize_xof().fill(&mut first);
    u64::from_le_bytes(first)
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
