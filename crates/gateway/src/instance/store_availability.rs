use std::cell::Cell;

/// Number of kinds of objects that an instance follows: configuration, engines
/// and weights.
const FOLLOWED_KINDS: usize = 3;

/// Whether an instance can follow the store, and when its last outage ended.
#[derive(Debug, Default)]
pub struct StoreAvailability {
    /// Number of kinds that are followed now.
    followed_kinds: Cell<usize>,
    /// When the last failed read began.
    last_failed_start_ms: Cell<Option<u64>>,
    /// When the first read after it was answered.
    recovered_ms: Cell<Option<u64>>,
}

impl StoreAvailability {
    /// Records that a kind was read in full and its changes are followed.
    pub fn follow_started(&self) {
        self.followed_kinds.set(self.followed_kinds.get() + 1);
    }

    /// Records that a kind is no longer followed and must be read again.
    pub fn follow_ended(&self) {
        self.followed_kinds
            .set(self.followed_kinds.get().saturating_sub(1));
    }

    /// Records that a read which began at `began_ms` has failed.
    pub fn read_failed(&self, began_ms: u64) {
        let last_ms = self.last_failed_start_ms.get().unwrap_or(began_ms);
        self.last_failed_start_ms.set(Some(last_ms.max(began_ms)));
        // A read that began before the store recovered may fail after it.
        if self
            .recovered_ms
            .get()
            .is_some_and(|recovered_ms| began_ms > recovered_ms)
        {
            self.recovered_ms.set(None);
        }
    }

    /// Records that a read was answered. The first one after an outage marks the
    /// recovery of the store.
    pub fn read_answered(&self, now_ms: u64) {
        if self.last_failed_start_ms.get().is_some() && self.recovered_ms.get().is_none() {
            self.recovered_ms.set(Some(now_ms));
        }
    }

    /// Returns whether all kinds are followed now.
    pub fn follows_all_kinds(&self) -> bool {
        self.followed_kinds.get() == FOLLOWED_KINDS
    }

    /// Returns the end of the grace period of engines with a missing entry, or
    /// `None` if no read has failed since the start.
    ///
    /// Entries may have expired during an outage of the store, and are written
    /// again within `expired_entry_grace_ms` of its recovery. The store recovered
    /// no earlier than the last failed read began. From `settled_ms` after the
    /// recovery the engine list must be applied as read, without a grace period.
    pub fn missing_entries_usable_until_ms(
        &self,
        expired_entry_grace_ms: u64,
        settled_ms: u64,
        now_ms: u64,
    ) -> Option<u64> {
        let last_failed_start_ms = self.last_failed_start_ms.get()?;
        let recovered_ms = self.recovered_ms.get().unwrap_or(now_ms);
        Some((recovered_ms + expired_entry_grace_ms).min(last_failed_start_ms + settled_ms))
    }
}
