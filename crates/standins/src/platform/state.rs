use {
    mangowalk_core::platform::{Change, ListReply, Object, ObjectKey, Precondition, WatchReply},
    serde_json::Value,
    std::collections::BTreeMap,
};

/// The stored objects and the log of all writes.
#[derive(Debug, Default)]
pub(super) struct State {
    objects: BTreeMap<ObjectKey, Object>,
    /// Version of the deletion of each deleted object.
    tombstones: BTreeMap<ObjectKey, u64>,
    log: Vec<Change>,
    revision: u64,
}

impl State {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn get(&self, key: &ObjectKey) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Writes an object, or deletes it if `body` is `None`, and returns the new
    /// version.
    ///
    /// # Errors
    ///
    /// Returns the current version, 0 if the object does not exist, if
    /// `expect` does not match it.
    pub(super) fn write(
        &mut self,
        key: &ObjectKey,
        expect: Precondition,
        body: Option<Value>,
    ) -> Result<u64, u64> {
        let current_version = self.objects.get(key).map_or(0, |o| o.version);
        let is_met = match expect {
            Precondition::Any => true,
            Precondition::Absent => current_version == 0,
            Precondition::Version(version) => current_version == version,
        };
        if !is_met {
            return Err(current_version);
        }
        self.revision += 1;
        let version = self.revision;
        let change = match body {
            Some(body) => self.put(key, version, body),
            None => self.delete(key, version),
        };
        self.log.push(change);
        Ok(version)
    }

    fn put(&mut self, key: &ObjectKey, version: u64, body: Value) -> Change {
        let object = Object {
            key: key.clone(),
            version,
            body,
        };
        self.tombstones.remove(key);
        self.objects.insert(key.clone(), object.clone());
        Change::Put(object)
    }

    fn delete(&mut self, key: &ObjectKey, version: u64) -> Change {
        self.objects.remove(key);
        self.tombstones.insert(key.clone(), version);
        Change::Delete {
            key: key.clone(),
            version,
        }
    }

    /// Returns the objects of some kinds as they were at a revision.
    pub(super) fn list(&self, kinds: &[&str], revision: u64) -> ListReply {
        let mut objects = BTreeMap::new();
        for change in &self.log {
            match change {
                Change::Put(o) if o.version <= revision => {
                    objects.insert(o.key.clone(), o.clone());
                }
                Change::Delete { key, version } if *version <= revision => {
                    objects.remove(key);
                }
                _ => {}
            }
        }
        let objects = objects
            .into_values()
            .filter(|o| kinds.contains(&o.key.kind.as_str()))
            .collect();
        ListReply { revision, objects }
    }

    /// Returns the changes to objects of some kinds with versions above
    /// `after` and at most `up_to`.
    pub(super) fn changes(&self, kinds: &[&str], after: u64, up_to: u64) -> WatchReply {
        let changes = self
            .log
            .iter()
            .filter(|c| {
                let (kind, version) = match c {
                    Change::Put(o) => (&o.key.kind, o.version),
                    Change::Delete { key, version } => (&key.kind, *version),
                };
                version > after && version <= up_to && kinds.contains(&kind.as_str())
            })
            .cloned()
            .collect();
        WatchReply {
            revision: up_to.max(after),
            changes,
            compacted: false,
        }
    }
}
