use {
    mangowalk_core::engine::{CacheChange, CacheEvents},
    std::{
        cmp::Reverse,
        collections::{BTreeSet, HashMap, VecDeque},
    },
};

/// Changes kept for readers of the events.
const KEPT_CHANGES: usize = 65_536;

/// A prefix cache that evicts what was used longest ago, tails before heads.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    capacity: usize,
    tick: u64,
    used: HashMap<u64, (u64, usize)>,
    order: BTreeSet<(u64, Reverse<usize>, u64)>,
    changes: VecDeque<CacheChange>,
    first_sequence: u64,
}

impl PrefixCache {
    /// Returns an empty cache for so many blocks.
    pub(crate) fn new(capacity: usize) -> PrefixCache {
        PrefixCache {
            capacity,
            ..PrefixCache::default()
        }
    }

    /// Returns how many blocks at the chain's head are cached.
    pub(crate) fn hits(&self, chain: &[u64]) -> usize {
        let held = |b: &&u64| self.used.contains_key(b);
        chain.iter().take_while(held).count()
    }

    /// Stores or refreshes every block of the chain.
    pub(crate) fn store(&mut self, chain: &[u64]) {
        self.tick += 1;
        for (depth, block) in chain.iter().enumerate() {
            match self.used.insert(*block, (self.tick, depth)) {
                Some((tick, depth)) => {
                    self.order.remove(&(tick, Reverse(depth), *block));
                }
                None => self.log(CacheChange::Stored(*block)),
            }
            self.order.insert((self.tick, Reverse(depth), *block));
        }
        while self.used.len() > self.capacity {
            let Some((_, _, block)) = self.order.pop_first() else {
                return;
            };
            self.used.remove(&block);
            self.log(CacheChange::Evicted(block));
        }
    }

    /// Drops every block, as a change of weights does.
    pub(crate) fn clear(&mut self) {
        self.used.clear();
        self.order.clear();
        self.log(CacheChange::Cleared);
    }

    /// Loses the next change: its sequence number is used up.
    pub(crate) fn lose_one(&mut self) {
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
    pub(crate) fn events(&self, incarnation: u64, from: u64) -> CacheEvents {
        let skip = from.saturating_sub(self.first_sequence) as usize;
        CacheEvents {
            incarnation,
            first_sequence: self.first_sequence.max(from),
            changes: self.changes.iter().skip(skip).cloned().collect(),
        }
    }
}
