use {
    super::{SLOTS, SlotBody, lease_ms, team_slots},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// A slot that this instance holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeldSlot {
    version: u64,
    /// When the write that made or renewed the lease was begun.
    begun_ms: u64,
}

/// A slot that another holds, as last listed.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ObservedSlot {
    version: u64,
    body: Option<SlotBody>,
    /// When this version was first seen, after the list was answered.
    seen_ms: u64,
}

/// Every slot as the platform listed it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotList {
    /// Revision of the list.
    pub revision: u64,
    /// Slots that some instance holds or held.
    pub slots: Vec<ListedSlot>,
}

/// One slot of a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedSlot {
    /// Number of the slot.
    pub slot: u32,
    /// Version on the platform.
    pub version: u64,
    /// What its holder wrote; none if this build can't read it.
    pub body: Option<SlotBody>,
}

/// One write that an instance should send for its slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotWrite {
    /// Create a slot that no one holds.
    Create {
        /// Number of the slot.
        slot: u32,
    },
    /// Write a slot over its version: renew, or take over.
    Replace {
        /// Number of the slot.
        slot: u32,
        /// Version that must still be there.
        version: u64,
    },
    /// Delete a slot at its version, for others to take.
    Release {
        /// Number of the slot.
        slot: u32,
        /// Version that must still be there.
        version: u64,
    },
}

/// What one instance knows of all slots, and what it should write next.
#[derive(Debug, Clone)]
pub struct SlotTable {
    address: SocketAddr,
    incarnation: u64,
    held: BTreeMap<u32, HeldSlot>,
    observed_slots: BTreeMap<u32, ObservedSlot>,
    has_list: bool,
}

impl SlotTable {
    /// Returns the table of an instance that starts.
    pub fn new(address: SocketAddr, incarnation: u64) -> SlotTable {
        SlotTable {
            address,
            incarnation,
            held: BTreeMap::new(),
            observed_slots: BTreeMap::new(),
            has_list: false,
        }
    }

    /// Returns what this instance writes into a slot.
    pub fn body(&self, slot: u32, nonce: u64) -> SlotBody {
        SlotBody::new(slot, self.address, self.incarnation, nonce)
    }

    /// Returns who else holds a team's homes, as far as the last list tells.
    pub fn holders(&self, team: &str) -> Vec<SocketAddr> {
        let observed_slots = team_slots(team)
            .into_iter()
            .filter_map(|s| self.observed_slots.get(&s));
        let mut holders: Vec<SocketAddr> = observed_slots
            .filter_map(|observed| observed.body.as_ref())
            .map(|body| body.holder)
            .filter(|holder| *holder != self.address)
            .collect();
        holders.sort_unstable();
        holders.dedup();
        holders
    }

    /// Returns how many slots are held.
    pub fn held(&self) -> u32 {
        u32::try_from(self.held.len()).unwrap_or(SLOTS)
    }

    /// Takes a list of every slot, whose answer came at `now_ms`, and returns
    /// the slots that are not held here after all.
    ///
    /// A version that is still the same keeps the time when it was first
    /// seen: only what this process watched itself counts towards a lapse.
    pub fn apply_list(&mut self, list: &SlotList, now_ms: u64) -> Vec<u32> {
        let mut observed_slots = BTreeMap::new();
        for listed in &list.slots {
            let seen_ms = match self.observed_slots.get(&listed.slot) {
                Some(observed) if observed.version == listed.version => observed.seen_ms,
                _ => now_ms,
            };
            let observed = ObservedSlot {
                version: listed.version,
                body: listed.body.clone(),
                seen_ms,
            };
            observed_slots.insert(listed.slot, observed);
        }
        self.observed_slots = observed_slots;
        self.has_list = true;
        let overwritten_slots = self.overwritten_slots(list.revision);
        for slot in &overwritten_slots {
            self.held.remove(slot);
        }
        overwritten_slots
    }

    /// Returns held slots that someone wrote over or deleted since. A list
    /// that lags behind the own write says nothing about it.
    fn overwritten_slots(&self, revision: u64) -> Vec<u32> {
        self.held
            .iter()
            .filter(|(slot, held)| match self.observed_slots.get(slot) {
                Some(observed) => observed.version > held.version,
                None => revision >= held.version,
            })
            .map(|(slot, _)| *slot)
            .collect()
    }

    /// Notes a slot written by this instance, in a write begun at `begun_ms`,
    /// and returns when the lease ends.
    pub fn record_write(&mut self, slot: u32, version: u64, begun_ms: u64) -> u64 {
        self.held.insert(slot, HeldSlot { version, begun_ms });
        begun_ms + lease_ms(slot)
    }

    /// Notes that a slot is not or no longer held here. It is not tried again
    /// before the next list.
    pub fn record_loss(&mut self, slot: u32) {
        self.held.remove(&slot);
        let unknown = ObservedSlot {
            version: 0,
            body: None,
            seen_ms: u64::MAX,
        };
        self.observed_slots.insert(slot, unknown);
    }

    /// Notes that a slot was released and is free.
    pub fn record_release(&mut self, slot: u32) {
        self.held.remove(&slot);
        self.observed_slots.remove(&slot);
    }

    /// Returns the lease's end of a held slot.
    pub fn lease_end_ms(&self, slot: u32) -> Option<u64> {
        let held = self.held.get(&slot)?;
        Some(held.begun_ms + lease_ms(slot))
    }

    /// Returns the next writes, at most `max_writes`, with so many instances live.
    ///
    /// Leases are renewed at half of their time. An instance over its share
    /// gives slots back, one under it takes free and lapsed ones.
    pub fn plan(&self, live_instances: u32, max_writes: usize, now_ms: u64) -> Vec<SlotWrite> {
        let target_slots = SLOTS.div_ceil(live_instances.max(1));
        let mut writes = self.renewals(now_ms);
        writes.truncate(max_writes);
        let surplus = self
            .held()
            .saturating_sub(target_slots + max_surplus(target_slots));
        if surplus > 0 {
            writes.extend(self.releases(target_slots));
        } else if self.has_list {
            let lacking = target_slots.saturating_sub(self.held()) as usize;
            writes.extend(self.acquisitions(now_ms).take(lacking));
        }
        writes.truncate(max_writes);
        writes
    }

    /// Returns a release of everything, for a shutdown.
    pub fn release_all(&self) -> Vec<SlotWrite> {
        self.releases(0).collect()
    }

    fn renewals(&self, now_ms: u64) -> Vec<SlotWrite> {
        self.held
            .iter()
            .filter(|(slot, held)| now_ms >= held.begun_ms + lease_ms(**slot) / 2)
            .map(|(slot, held)| SlotWrite::Replace {
                slot: *slot,
                version: held.version,
            })
            .collect()
    }

    fn releases(&self, kept_slots: u32) -> impl Iterator<Item = SlotWrite> {
        self.held
            .iter()
            .skip(kept_slots as usize)
            .map(|(slot, held)| SlotWrite::Release {
                slot: *slot,
                version: held.version,
            })
    }

    /// Returns the slots to take: first those of this address, then others,
    /// each instance beginning elsewhere, so that a herd of starts does not
    /// write the same slots.
    fn acquisitions(&self, now_ms: u64) -> impl Iterator<Item = SlotWrite> {
        let first = (self.incarnation % u64::from(SLOTS)) as u32;
        let own = self
            .observed_slots
            .iter()
            .filter(|(_, s)| self.is_own_address(s));
        own.map(|(slot, _)| *slot)
            .chain((0..SLOTS).map(move |i| (first + i) % SLOTS))
            .filter(|slot| !self.held.contains_key(slot))
            .filter_map(move |slot| match self.observed_slots.get(&slot) {
                None => Some(SlotWrite::Create { slot }),
                Some(observed) if self.may_take_over(observed, now_ms) => {
                    Some(SlotWrite::Replace {
                        slot,
                        version: observed.version,
                    })
                }
                Some(_) => None,
            })
    }

    /// Returns whether a slot's holder is surely gone.
    ///
    /// Either this process has watched the version unchanged for longer than
    /// the holder may mint on it, or the holder listened on this process's
    /// own address: a listening address is exclusive, so that holder ended
    /// before this process began. The write is conditional on the version, so
    /// that a renewal seen by no list yet makes the taking fail.
    fn may_take_over(&self, observed: &ObservedSlot, now_ms: u64) -> bool {
        let Some(body) = &observed.body else {
            return false;
        };
        let watched_ms = now_ms.saturating_sub(observed.seen_ms);
        self.is_own_address(observed) || watched_ms > body.takeover_wait_ms()
    }

    fn is_own_address(&self, observed: &ObservedSlot) -> bool {
        let body = observed.body.as_ref();
        body.is_some_and(|body| body.holder == self.address)
    }
}

/// Returns how far over its share an instance may be before it gives slots
/// back, so that a peer heard late does not set slots moving to and fro.
fn max_surplus(target_slots: u32) -> u32 {
    const SURPLUS_ONE_IN: u32 = 8;
    target_slots / SURPLUS_ONE_IN
}
