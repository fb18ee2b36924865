use std::collections::HashMap;

/// Maximum number of holders recorded per prefix.
const MAX_HOLDERS: usize = 6;

/// Time constant of the moving average of the load of a prefix. Hot prefixes
/// shift within seconds; a shorter window would follow single requests.
const LOAD_WINDOW_MS: f64 = 4_000.0;

/// An engine that computed a prefix for this instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Holder {
    /// Slot of the engine.
    pub(super) slot: usize,
    /// Generation of the engine slot when the prefix was computed. It changes
    /// when the engine restarts or the slot gets another engine; the entry does
    /// not count any more then.
    pub(super) generation: u32,
    /// Time at which the engine last used the prefix.
    pub(super) used_ms: u64,
}

/// Holders and load of one prefix.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Prefix {
    pub(super) holders: Vec<Holder>,
    load_ms: f64,
    loaded_ms: u64,
}

impl Prefix {
    /// Returns the prefill time requested with this prefix per unit of time.
    pub(super) fn load(&self, now_ms: u64) -> f64 {
        self.load_ms * decay(now_ms.saturating_sub(self.loaded_ms)) / LOAD_WINDOW_MS
    }

    fn add_load(&mut self, cost_ms: f64, now_ms: u64) {
        self.load_ms = self.load_ms * decay(now_ms.saturating_sub(self.loaded_ms)) + cost_ms;
        self.loaded_ms = now_ms;
    }
}

fn decay(elapsed_ms: u64) -> f64 {
    (-(elapsed_ms as f64) / LOAD_WINDOW_MS).exp()
}

/// Recently used prefixes. The size is bounded, whatever the number of cached
/// blocks in the fleet.
///
/// Entries are kept in two generations instead of an LRU list: an entry that is
/// not used during a whole generation is dropped with it, and no operation
/// iterates over the table.
#[derive(Debug, Default)]
pub(super) struct PrefixTable {
    young: HashMap<u64, Prefix>,
    old: HashMap<u64, Prefix>,
    capacity: usize,
}

impl PrefixTable {
    pub(super) fn new(capacity: usize) -> PrefixTable {
        PrefixTable {
            capacity,
            ..PrefixTable::default()
        }
    }

    pub(super) fn get(&self, digest: u64) -> Option<&Prefix> {
        self.young.get(&digest).or_else(|| self.old.get(&digest))
    }

    /// Adds the cost of a request to the load of a prefix.
    pub(super) fn add_load(&mut self, digest: u64, cost_ms: f64, now_ms: u64) {
        self.entry(digest).add_load(cost_ms, now_ms);
    }

    /// Records that an engine holds a prefix. Replaces the oldest holder if
    /// there are `MAX_HOLDERS`.
    pub(super) fn add_holder(&mut self, digest: u64, holder: Holder) {
        let holders = &mut self.entry(digest).holders;
        holders.retain(|h| h.slot != holder.slot);
        if holders.len() >= MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(holder);
    }

    /// Returns the number of prefixes in the table.
    pub(super) fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    fn entry(&mut self, digest: u64) -> &mut Prefix {
        if self.young.len() >= self.capacity / 2 {
            self.old = std::mem::take(&mut self.young);
        }
        let old = &mut self.old;
        self.young
            .entry(digest)
            .or_insert_with(|| old.remove(&digest).unwrap_or_default())
    }
}
