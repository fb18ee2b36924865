use std::collections::{HashMap, HashSet};

/// Parts remembered of a store. It holds a few hundred shared parts and the
/// ends of prompts that were sent along with them.
const MAX_KEYS: usize = 20_000;

/// Time within which a part is sent to the store once. An engine that would
/// wait for the link for more than two seconds doesn't send it; it is asked
/// again after that.
const SAVE_CLAIM_MS: u64 = 2_500;

/// Asks that are remembered before those that are over are forgotten.
const MAX_SAVE_CLAIMS: usize = 4_096;

/// What this instance believes a store of kept parts to hold.
#[derive(Debug, Default)]
pub struct KvStoreContents {
    epoch: Option<u64>,
    held: HashSet<u64>,
    is_up: bool,
    claimed_ms: HashMap<u64, u64>,
}

/// Returns the key of a part that is kept under a text.
pub fn kv_store_key(salt: &str, part: u64) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in salt.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^ part
}

impl KvStoreContents {
    /// Notes that the store answered. After a restart, or where changes are
    /// missing, nothing is believed to be held.
    pub fn record_answer(&mut self, epoch: u64, lost: bool) {
        self.is_up = true;
        if self.epoch != Some(epoch) || lost || self.held.len() > MAX_KEYS {
            self.held.clear();
        }
        self.epoch = Some(epoch);
    }

    /// Notes that the store doesn't answer.
    pub fn mark_down(&mut self) {
        self.is_up = false;
    }

    /// Notes that a part came or went.
    pub fn apply_change(&mut self, key: u64, stored: bool) {
        if stored {
            self.held.insert(key);
        } else {
            self.held.remove(&key);
        }
    }

    /// Returns whether the store answers. Asking one that doesn't costs an
    /// engine some hundred milliseconds.
    pub fn is_up(&self) -> bool {
        self.is_up
    }

    /// Notes that an engine is asked to send a part to the store. Returns
    /// whether nobody asked for it shortly before.
    ///
    /// After a change of weights many requests read the same part before the
    /// store tells that it has it. Each sending the part would take the store's
    /// one link from those that wait for others.
    pub fn claim_save(&mut self, part: u64, now_ms: u64) -> bool {
        let claimed_ms = self.claimed_ms.get(&part);
        if claimed_ms.is_some_and(|claimed_ms| now_ms < claimed_ms + SAVE_CLAIM_MS) {
            return false;
        }
        if self.claimed_ms.len() >= MAX_SAVE_CLAIMS {
            self.claimed_ms
                .retain(|_, claimed_ms| now_ms < *claimed_ms + SAVE_CLAIM_MS);
        }
        self.claimed_ms.insert(part, now_ms);
        true
    }

    /// Returns whether the store holds a part.
    pub fn holds(&self, key: u64) -> bool {
        self.is_up && self.held.contains(&key)
    }
}
