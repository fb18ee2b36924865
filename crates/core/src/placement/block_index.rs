use {
    crate::engine::{CacheChange, CacheEvents},
    std::collections::HashMap,
};

/// Maximum number of engines in the index: one bit each in a `u64`.
pub(super) const MAX_INDEXED_ENGINES: usize = 64;

/// Position in the cache events of one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Cursor {
    incarnation: u64,
    next_sequence: u64,
    synced: bool,
}

/// Cached blocks of a small fleet, each with the engines that hold it.
///
/// Built from the cache events of the engines. Events of another incarnation
/// are ignored. A gap in the events clears the entries of that engine: blocks
/// stored after the gap are known to be cached, but earlier ones may have been
/// evicted in the gap.
#[derive(Debug, Default)]
pub(super) struct BlockIndex {
    blocks: HashMap<u64, u64>,
    cursors: HashMap<usize, Cursor>,
}

impl BlockIndex {
    /// Returns the sequence number of the next event to read.
    pub(super) fn next_sequence(&self, slot: usize) -> u64 {
        self.cursors.get(&slot).map_or(0, |c| c.next_sequence)
    }

    /// Returns whether the index is valid for an engine: its events have been
    /// applied. Blocks without an entry then count as not cached, except those
    /// of requests sent so recently that their events may not have arrived.
    pub(super) fn is_synced(&self, slot: usize) -> bool {
        self.cursors.get(&slot).is_some_and(|c| c.synced)
    }

    /// Returns whether an engine holds a block.
    pub(super) fn holds(&self, slot: usize, digest: u64) -> bool {
        self.holders(digest) & (1 << slot) != 0
    }

    /// Returns a bit mask of the engines that hold a block, by slot.
    pub(super) fn holders(&self, digest: u64) -> u64 {
        self.blocks.get(&digest).copied().unwrap_or_default()
    }

    /// Applies cache events of an engine. Events of an incarnation other than
    /// the current one are ignored.
    pub(super) fn apply_events(&mut self, slot: usize, incarnation: u64, events: &CacheEvents) {
        if slot >= MAX_INDEXED_ENGINES || events.incarnation != incarnation {
            return;
        }
        let cursor = self.cursors.get(&slot).copied().unwrap_or_default();
        let same_incarnation = cursor.incarnation == incarnation;
        let follows = same_incarnation && events.first_sequence <= cursor.next_sequence;
        if !follows {
            self.remove_engine(slot);
        }
        let skip = match follows {
            true => (cursor.next_sequence - events.first_sequence) as usize,
            false => 0,
        };
        for change in events.changes.iter().skip(skip) {
            self.apply_change(slot, change);
        }
        let end = events.first_sequence + events.changes.len() as u64;
        let next_sequence = if follows {
            end.max(cursor.next_sequence)
        } else {
            end
        };
        let cursor = Cursor {
            incarnation,
            next_sequence,
            synced: true,
        };
        self.cursors.insert(slot, cursor);
    }

    /// Removes all entries of an engine.
    pub(super) fn remove_engine(&mut self, slot: usize) {
        if self.cursors.remove(&slot).is_none() {
            return;
        }
        let bit = 1 << slot;
        self.blocks.retain(|_, holders| {
            *holders &= !bit;
            *holders != 0
        });
    }

    fn apply_change(&mut self, slot: usize, change: &CacheChange) {
        let bit = 1 << slot;
        match change {
            CacheChange::Stored(digest) => *self.blocks.entry(*digest).or_default() |= bit,
            CacheChange::Evicted(digest) => self.remove(*digest, bit),
            CacheChange::Cleared => {
                self.blocks.retain(|_, holders| {
                    *holders &= !bit;
                    *holders != 0
                });
            }
        }
    }

    fn remove(&mut self, digest: u64, bit: u64) {
        let Some(holders) = self.blocks.get_mut(&digest) else {
            return;
        };
        *holders &= !bit;
        if *holders == 0 {
            self.blocks.remove(&digest);
        }
    }
}
