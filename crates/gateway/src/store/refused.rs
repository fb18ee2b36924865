use {
    crate::instance::Counters,
    mangowalk_platform::{ObjectKind, StoredObject},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
    },
};

/// Entries of one kind that can't be used. Each revision of one is logged and counted once,
/// not at each reading of the list.
#[derive(Debug)]
pub(super) struct RefusedEntries {
    kind: ObjectKind,
    revisions: RefCell<HashMap<String, u64>>,
    /// Number of entries whose names can't be read.
    unnamed: Cell<usize>,
}

impl RefusedEntries {
    pub(super) fn new(kind: ObjectKind) -> RefusedEntries {
        RefusedEntries {
            kind,
            revisions: RefCell::default(),
            unnamed: Cell::default(),
        }
    }

    /// Records an entry that can't be used. Returns whether it has to be logged.
    pub(super) fn record(&self, object: &StoredObject, counters: &Counters) -> bool {
        let mut revisions = self.revisions.borrow_mut();
        let before = revisions.insert(object.name.clone(), object.revision);
        let is_new = before != Some(object.revision);
        if is_new {
            counters.count("entry_refused", self.kind.name());
        }
        is_new
    }

    /// Forgets an entry that was removed.
    pub(super) fn forget(&self, name: &str) {
        self.revisions.borrow_mut().remove(name);
    }

    /// Forgets the entries that a reading lacks, and records how many had no name.
    pub(super) fn retain(&self, listed: &[StoredObject], unnamed: usize, counters: &Counters) {
        let mut revisions = self.revisions.borrow_mut();
        if !revisions.is_empty() {
            let listed: HashMap<&str, u64> = listed
                .iter()
                .map(|object| (object.name.as_str(), object.revision))
                .collect();
            revisions.retain(|name, revision| listed.get(name.as_str()) == Some(revision));
        }
        let known = self.unnamed.get().min(unnamed);
        self.unnamed.set(known);
        self.record_unnamed(unnamed - known, counters);
    }

    /// Records entries or changes whose names can't be read.
    pub(super) fn record_unnamed(&self, count: usize, counters: &Counters) {
        if count > 0 {
            log::warn!("event=unnamed_refused kind={} count={count}", self.kind);
        }
        for _ in 0..count {
            counters.count("entry_refused", self.kind.name());
        }
        self.unnamed.set(self.unnamed.get() + count);
    }
}
