use std::cell::Cell;

/// Kinds of objects that an instance follows: configuration, engines, weights.
const KINDS: usize = 3;

/// How far what an instance follows in the store can be read.
#[derive(Debug, Default)]
pub struct Following {
    followed: Cell<usize>,
    lost: Cell<usize>,
    regained_ms: Cell<Option<u64>>,
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

    /// Notes that a kind can't be read.
    pub fn lost(&self) {
        self.lost.set(self.lost.get() + 1);
    }

    /// Notes that a kind can be read after it could not.
    pub fn regained(&self, now_ms: u64) {
        self.lost.set(self.lost.get().saturating_sub(1));
        self.regained_ms.set(Some(now_ms));
    }

    /// Returns whether all kinds are followed just now.
    pub fn is_whole(&self) -> bool {
        self.followed.get() == KINDS
    }

    /// Returns until when engines are used that the list lacks from now on:
    /// their entries may have lapsed while the store was away, and are written
    /// again within `lapsed_ms` of its return.
    pub fn keep_missing_until_ms(&self, lapsed_ms: u64, now_ms: u64) -> Option<u64> {
        if self.lost.get() > 0 {
            return Some(now_ms + lapsed_ms);
        }
        let regained_ms = self.regained_ms.get()?;
        Some(regained_ms + lapsed_ms)
    }
}
