use {
    mangowalk_core::engine::{CacheChange, CacheEvents},
    std::{
        cmp::Reverse,
        collections::{BTreeSet, HashMap, VecDeque},
    },
};

/// Changes kept for readers of the events.
const MAX_RETAINED_CHANGES: usize = 65_536;

/// A prefix cache that evicts what was used longest ago, tails before heads.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    capacity: usize,
    tick: u64,
    entries: HashMap<u64, (u64, usize)>,
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
        let is_cached = |b: &&u64| self.entries.contains_key(b);
        chain.iter().take_while(is_cached).count()
    }

    /// Stores or refreshes every block of the chain.
    pub(crate) fn store(&mut self, chain: &[u64]) {
        self.tick += 1;
        for (depth, block) in chain.iter().enumerate() {
            match self.entries.insert(*block, (self.tick, depth)) {
                Some((tick, depth)) => {
                    self.order.remove(&(tick, Reverse(depth), *block));
                }
                None => self.log(CacheChange::Stored(*block)),
            }
            self.order.insert((self.tick, Reverse(depth), *block));
        }
        while self.entries.len() > self.capacity {
            let Some((_, _, block)) = self.order.pop_first() else {
                return;
            };
            self.entries.remove(&block);
            self.log(CacheChange::Evicted(block));
        }
    }

    /// Drops every block, as a change of weights does.
    pub(crate) fn clear(&mut self) {
        self.entries.clear();
        self.order.clear();
        self.log(CacheChange::Cleared);
    }

    /// Loses the next change: its sequence number is used up.
    pub(crate) fn drop_changes(&mut self) {
        self.first_sequence += self.changes.len() as u64 + 1;
        self.changes.clear();
    }

    fn log(&mut self, change: CacheChange) {
        self.changes.push_back(change);
        if self.changes.len() > MAX_RETAINED_CHANGES {
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
