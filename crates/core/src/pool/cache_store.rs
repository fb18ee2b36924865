use std::collections::{HashMap, HashSet};

/// Number of recorded keys above which all are dropped. A store holds a few
/// hundred shared parts and the ends of prompts that were saved along with
/// them.
const MAX_KEYS: usize = 20_000;

/// Time during which a part is saved to the store only once. An engine that
/// would wait for the link of the store for more than two seconds does not send
/// the part; after this time another engine is asked.
const SAVE_CLAIM_MS: u64 = 2_500;

/// Number of claims from which on expired ones are removed.
const MAX_SAVE_CLAIMS: usize = 4_096;

/// Contents of a KV cache store as known to this instance.
#[derive(Debug, Default)]
pub struct CacheStoreContents {
    epoch: Option<u64>,
    held: HashSet<u64>,
    is_up: bool,
    claimed_ms: HashMap<u64, u64>,
}

/// Returns the key of a part that is stored under a salt.
pub fn cache_store_key(salt: &str, part: u64) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in salt.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^ part
}

impl CacheStoreContents {
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

    /// Claims the saving of a part to the store. Returns `false` if it was
    /// claimed within the last `SAVE_CLAIM_MS`.
    ///
    /// After a change of weights, many requests read the same part before the
    /// store reports that it has it. If each of them sent the part, the single
    /// link of the store would be taken from requests that wait for other
    /// parts.
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

    /// Returns whether the store answers and holds a part.
    pub fn holds(&self, key: u64) -> bool {
        self.is_up && self.held.contains(&key)
    }
}
