use {
    mangowalk_core::engine::{CacheChange, CacheEvents},
    std::collections::{HashMap, VecDeque},
};

/// Changes that the engine keeps for readers of its events.
const KEPT_CHANGES: usize = 65_536;

/// A prefix cache that evicts what was used longest ago.
#[derive(Debug, Default)]
pub(super) struct Cache {
    used: HashMap<u64, u64>,
    clock: u64,
    capacity: usize,
    changes: VecDeque<CacheChange>,
    first_sequence: u64,
}

impl Cache {
    pub(super) fn new(capacity: usize) -> Cache {
        Cache {
            capacity,
            ..Cache::default()
        }
    }

    /// Returns how many blocks at the chain's head are cached.
    pub(super) fn hits(&self, chain: &[u64]) -> usize {
        chain
            .iter()
            .take_while(|b| self.used.contains_key(b))
            .count()
    }

    /// Stores or refreshes every block of the chain.
    pub(super) fn store(&mut self, chain: &[u64]) {
        for block in chain {
            self.clock += 1;
            if self.used.insert(*block, self.clock).is_none() {
                self.log(CacheChange::Stored(*block));
            }
        }
        while self.used.len() > self.capacity {
            let oldest = self.used.iter().min_by_key(|(_, at)| **at).map(|(b, _)| *b);
            let Some(oldest) = oldest else { return };
            self.used.remove(&oldest);
            self.log(CacheChange::Evicted(oldest));
        }
    }

    /// Drops every block, as a change of weights does.
    pub(super) fn clear(&mut self) {
        self.used.clear();
        self.log(CacheChange::Cleared);
    }

    /// Loses the next change: its sequence number is used up.
    pub(super) fn lose_one(&mut self) {
        self.first_sequence += self.changes.len() as u64 + 1;
        self.changes.clear();
    }

    fn log(&mut self, change: CacheChange) {
        self.changes.push_back(change);
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
            self.first_sequence += 1;
        }
    }

    /// Returns the changes from a sequence number on.
    pub(super) fn events(&self, incarnation: u64, from: u64) -> CacheEvents {
        let skip = from.saturating_sub(self.first_sequence) as usize;
        CacheEvents {
            incarnation,
            first_sequence: self.first_sequence.max(from),
            changes: self.changes.iter().skip(skip).cloned().collect(),
        }
    }
}
