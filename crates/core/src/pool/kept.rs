use std::collections::{HashMap, HashSet};

/// Parts remembered of a store. It holds a few hundred shared parts and the
/// ends of prompts that were sent along with them.
const MOST: usize = 20_000;

/// Time within which a part is sent to the store once. An engine that would
/// wait for the link for more than two seconds doesn't send it; it is asked
/// again after that.
const ASKED_MS: u64 = 2_500;

/// Asks that are remembered before those that are over are forgotten.
const MOST_ASKED: usize = 4_096;

/// What this instance believes a store of kept parts to hold.
#[derive(Debug, Default)]
pub struct KeptParts {
    epoch: Option<u64>,
    held: HashSet<u64>,
    is_up: bool,
    asked_ms: HashMap<u64, u64>,
}

/// Returns the key of a part that is kept under a text.
pub fn kept_key(salt: &str, part: u64) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in salt.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^ part
}

impl KeptParts {
    /// Notes that the store answered. After a restart, or where changes are
    /// missing, nothing is believed to be held.
    pub fn answered(&mut self, epoch: u64, lost: bool) {
        self.is_up = true;
        if self.epoch != Some(epoch) || lost || self.held.len() > MOST {
            self.held.clear();
        }
        self.epoch = Some(epoch);
    }

    /// Notes that the store doesn't answer.
    pub fn down(&mut self) {
        self.is_up = false;
    }

    /// Notes that a part came or went.
    pub fn change(&mut self, key: u64, came: bool) {
        if came {
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
    pub fn ask(&mut self, part: u64, now_ms: u64) -> bool {
        let asked_ms = self.asked_ms.get(&part);
        if asked_ms.is_some_and(|asked_ms| now_ms < asked_ms + ASKED_MS) {
            return false;
        }
        if self.asked_ms.len() >= MOST_ASKED {
            self.asked_ms
                .retain(|_, asked_ms| now_ms < *asked_ms + ASKED_MS);
        }
        self.asked_ms.insert(part, now_ms);
        true
    }

    /// Returns whether the store holds a part.
    pub fn holds(&self, key: u64) -> bool {
        self.is_up && self.held.contains(&key)
    }
}
