use std::cell::Cell;

/// Kinds of objects that an instance follows: configuration, engines, weights.
const FOLLOWED_KINDS: usize = 3;

/// How far what an instance follows in the store can be read.
#[derive(Debug, Default)]
pub struct StoreAvailability {
    followed_kinds: Cell<usize>,
    /// When the last reading without an answer began.
    last_failed_start_ms: Cell<Option<u64>>,
    /// When the first reading after it was answered.
    recovered_ms: Cell<Option<u64>>,
}

impl StoreAvailability {
    /// Notes that a kind was read, and its changes are waited for.
    pub fn follow_started(&self) {
        self.followed_kinds.set(self.followed_kinds.get() + 1);
    }

    /// Notes that a kind has to be read anew.
    pub fn follow_ended(&self) {
        self.followed_kinds
            .set(self.followed_kinds.get().saturating_sub(1));
    }

    /// Notes that a reading which began at a time has failed.
    pub fn read_failed(&self, began_ms: u64) {
        let last_ms = self.last_failed_start_ms.get().unwrap_or(began_ms);
        self.last_failed_start_ms.set(Some(last_ms.max(began_ms)));
        // One that began before the store's return may fail after it.
        if self
            .recovered_ms
            .get()
            .is_some_and(|recovered_ms| began_ms > recovered_ms)
        {
            self.recovered_ms.set(None);
        }
    }

    /// Notes that a reading was answered.
    pub fn read_answered(&self, now_ms: u64) {
        if self.last_failed_start_ms.get().is_some() && self.recovered_ms.get().is_none() {
            self.recovered_ms.set(Some(now_ms));
        }
    }

    /// Returns whether all kinds are followed just now.
    pub fn follows_all_kinds(&self) -> bool {
        self.followed_kinds.get() == FOLLOWED_KINDS
    }

    /// Returns until when engines are used that the list lacks: their entries may
    /// have lapsed while the store was away, and are written again within
    /// `expired_entry_grace_ms` of its return.
    ///
    /// The store was back at the earliest when the last reading that failed had
    /// begun; `settled_ms` after its return the list counts as it is read.
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
