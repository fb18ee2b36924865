use std::collections::HashSet;

/// Number of recorded keys above which all are dropped. A store holds a few
/// hundred shared parts and the ends of prompts that were saved along with
/// them.
const MAX_KEYS: usize = 20_000;

/// Contents of one KV cache store as known to this instance.
#[derive(Debug, Default)]
pub struct StoreContents {
    epoch: Option<u64>,
    held: HashSet<u64>,
    is_up: bool,
}

/// Returns the key of a part that is stored under a salt.
pub fn kv_store_key(salt: &str, part: u64) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in salt.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^ part
}

impl StoreContents {
    /// Records that the store answered. Clears the known contents if the store
    /// has restarted (a new `epoch`) or changes were `lost`.
    pub fn record_answer(&mut self, epoch: u64, lost: bool) {
        self.is_up = true;
        if self.epoch != Some(epoch) || lost || self.held.len() > MAX_KEYS {
            self.held.clear();
        }
        self.epoch = Some(epoch);
    }

    /// Records that the store does not answer.
    pub fn mark_down(&mut self) {
        self.is_up = false;
    }

    /// Records that nothing is known of the store. Engines may find there what they
    /// look for, so it counts as answering.
    pub fn mark_unknown(&mut self) {
        self.is_up = true;
        self.epoch = None;
        self.held.clear();
    }

    /// Applies a change: a part was stored or removed.
    pub fn apply_change(&mut self, key: u64, stored: bool) {
        if stored {
            self.held.insert(key);
        } else {
            self.held.remove(&key);
        }
    }

    /// Returns whether the store answers. A request to a store that does not
    /// costs an engine some hundred milliseconds.
    pub fn is_up(&self) -> bool {
        self.is_up
    }

    /// Returns the epoch of the last answer, which changes with each start of the
    /// store; `None` if nothing is known of it.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Returns the number of parts that the store is known to hold.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Returns whether the store answers and holds a part.
    pub fn holds(&self, key: u64) -> bool {
        self.is_up && self.held.contains(&key)
    }
}
