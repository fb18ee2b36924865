use std::cell::Cell;

/// Kinds of objects that an instance follows: configuration, engines, weights.
const KINDS: usize = 3;

/// How far what an instance follows in the store can be read.
#[derive(Debug, Default)]
pub struct Following {
    followed: Cell<usize>,
    /// When the last reading without an answer began.
    failed_ms: Cell<Option<u64>>,
    /// When the first reading after it was answered.
    back_ms: Cell<Option<u64>>,
}

impl Following {
    /// Notes that a kind was read, and its changes are waited for.
    pub fn began(&self) {
        self.followed.set(self.followed.get() + 1);
    }

    /// Notes that a kind has to be read anew.
    pub fn ended(&self) {
        self.followed.set(self.followed.get().saturating_sub(1));
    }

    /// Notes that a reading which began at a time has failed.
    pub fn failed(&self, began_ms: u64) {
        let last_ms = self.failed_ms.get().unwrap_or(began_ms);
        self.failed_ms.set(Some(last_ms.max(began_ms)));
        // One that began before the store's return may fail after it.
        if self.back_ms.get().is_some_and(|back_ms| began_ms > back_ms) {
            self.back_ms.set(None);
        }
    }

    /// Notes that a reading was answered.
    pub fn answered(&self, now_ms: u64) {
        if self.failed_ms.get().is_some() && self.back_ms.get().is_none() {
            self.back_ms.set(Some(now_ms));
        }
    }

    /// Returns whether all kinds are followed just now.
    pub fn is_whole(&self) -> bool {
        self.followed.get() == KINDS
    }

    /// Returns until when engines are used that the list lacks: their entries may
    /// have lapsed while the store was away, and are written again within
    /// `lapsed_ms` of its return.
    ///
    /// The store was back at the earliest when the last reading that failed had
    /// begun; `settled_ms` after its return the list counts as it is read.
    pub fn keep_missing_until_ms(
        &self,
        lapsed_ms: u64,
        settled_ms: u64,
        now_ms: u64,
    ) -> Option<u64> {
        let failed_ms = self.failed_ms.get()?;
        let back_ms = self.back_ms.get().unwrap_or(now_ms);
        Some((back_ms + lapsed_ms).min(failed_ms + settled_ms))
    }
}
