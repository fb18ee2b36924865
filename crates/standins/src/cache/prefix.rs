use {
    mangowalk_core::engine::{CacheChange, CacheEvents},
    std::{
        cmp::Reverse,
        collections::{BTreeSet, HashMap, VecDeque},
    },
};

/// Number of changes that readers of the cache events can still read.
const MAX_RETAINED_CHANGES: usize = 65_536;

/// A prefix cache of blocks with LRU eviction.
///
/// Of the blocks that were last used together, those deepest in the chain are
/// evicted first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    capacity: usize,
    /// Incremented by each call of `store`.
    tick: u64,
    /// Tick of the last use and depth in the chain, by block.
    entries: HashMap<u64, (u64, usize)>,
    /// Blocks in the order of eviction.
    order: BTreeSet<(u64, Reverse<usize>, u64)>,
    changes: VecDeque<CacheChange>,
    /// Sequence number of the first of `changes`.
    first_sequence: u64,
}

impl PrefixCache {
    /// Returns an empty cache that holds up to `capacity` blocks.
    pub(crate) fn new(capacity: usize) -> PrefixCache {
        PrefixCache {
            capacity,
            ..PrefixCache::default()
        }
    }

    /// Returns the number of blocks at the start of the chain that are cached,
    /// up to the first miss.
    pub(crate) fn hits(&self, chain: &[u64]) -> usize {
        let is_cached = |b: &&u64| self.entries.contains_key(b);
        chain.iter().take_while(is_cached).count()
    }

    /// Stores every block of the chain or marks it as used, and evicts blocks
    /// beyond the capacity.
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

    /// Drops every block, as an engine does when its weights change.
    pub(crate) fn clear(&mut self) {
        self.entries.clear();
        self.order.clear();
        self.log(CacheChange::Cleared);
    }

    /// Drops the retained changes and skips one sequence number, so that
    /// readers see a gap.
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

    /// Returns the retained changes whose sequence number is at least `from`.
    pub(crate) fn events(&self, incarnation: u64, from: u64) -> CacheEvents {
        let skip = from.saturating_sub(self.first_sequence) as usize;
        CacheEvents {
            incarnation,
            first_sequence: self.first_sequence.max(from),
            changes: self.changes.iter().skip(skip).cloned().collect(),
        }
    }
}
