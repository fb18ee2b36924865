use {
    super::{SLOTS, SlotBody, lease_ms, team_slots},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// A slot that this instance holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeldSlot {
    version: u64,
    /// Time before the write that created or renewed the lease was sent.
    begun_ms: u64,
}

/// A slot as last listed.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ObservedSlot {
    version: u64,
    body: Option<SlotBody>,
    /// Time at which this version was first seen in an answered list.
    seen_ms: u64,
}

/// All slots as the platform listed them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotList {
    /// Revision of the platform at which the list was read.
    pub revision: u64,
    /// Slots that exist on the platform, with valid or expired leases.
    pub slots: Vec<ListedSlot>,
}

/// One slot of a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedSlot {
    /// Number of the slot.
    pub slot: u32,
    /// Version of the slot on the platform.
    pub version: u64,
    /// Body that the holder wrote; `None` if this build can't decode it.
    pub body: Option<SlotBody>,
}

/// A conditional write to the platform that an instance should send for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotWrite {
    /// Creates a slot that does not exist.
    Create {
        /// Number of the slot.
        slot: u32,
    },
    /// Overwrites a slot, to renew its lease or to take it over.
    Replace {
        /// Number of the slot.
        slot: u32,
        /// Version that the slot must still have.
        version: u64,
    },
    /// Deletes a slot, so that other instances can take it.
    Release {
        /// Number of the slot.
        slot: u32,
        /// Version that the slot must still have.
        version: u64,
    },
}

/// The state of all slots as known to one instance, from which it plans its
/// next writes.
#[derive(Debug, Clone)]
pub struct SlotTable {
    address: SocketAddr,
    incarnation: u64,
    held: BTreeMap<u32, HeldSlot>,
    observed_slots: BTreeMap<u32, ObservedSlot>,
    has_list: bool,
}

impl SlotTable {
    /// Returns a table without slots. `address` is this instance's address
    /// towards callers; `incarnation` is drawn at random at each start.
    pub fn new(address: SocketAddr, incarnation: u64) -> SlotTable {
        SlotTable {
            address,
            incarnation,
            held: BTreeMap::new(),
            observed_slots: BTreeMap::new(),
            has_list: false,
        }
    }

    /// Returns the body that this instance writes into a slot. `nonce` is drawn
    /// for each write.
    pub fn body(&self, slot: u32, nonce: u64) -> SlotBody {
        SlotBody::new(slot, self.address, self.incarnation, nonce)
    }

    /// Returns the addresses of other instances that hold a team's slots,
    /// according to the last list, sorted and without duplicates.
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

    /// Returns how many slots this instance holds.
    pub fn held(&self) -> u32 {
        u32::try_from(self.held.len()).unwrap_or(SLOTS)
    }

    /// Applies a list of all slots that was answered at `now_ms`. Removes and
    /// returns the slots that this instance no longer holds.
    ///
    /// An unchanged version keeps the time at which it was first seen: a lease
    /// counts as expired only after this process itself has observed it for long
    /// enough.
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

    /// Returns held slots that another instance has overwritten or deleted. A
    /// list older than the own write proves nothing about that slot.
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

    /// Records that this instance wrote a slot in a call begun at `begun_ms`, and
    /// returns the end of the lease.
    pub fn record_write(&mut self, slot: u32, version: u64, begun_ms: u64) -> u64 {
        self.held.insert(slot, HeldSlot { version, begun_ms });
        begun_ms + lease_ms(slot)
    }

    /// Records that this instance does not hold a slot. It does not try to take
    /// the slot again before the next list.
    pub fn record_loss(&mut self, slot: u32) {
        self.held.remove(&slot);
        let unknown = ObservedSlot {
            version: 0,
            body: None,
            seen_ms: u64::MAX,
        };
        self.observed_slots.insert(slot, unknown);
    }

    /// Records that this instance released a slot, which is now free.
    pub fn record_release(&mut self, slot: u32) {
        self.held.remove(&slot);
        self.observed_slots.remove(&slot);
    }

    /// Returns the end of a held slot's lease, or `None` if the slot is not held.
    pub fn lease_end_ms(&self, slot: u32) -> Option<u64> {
        let held = self.held.get(&slot)?;
        Some(held.begun_ms + lease_ms(slot))
    }

    /// Returns the next writes, at most `max_writes`, for an equal share of the
    /// slots among `live_instances`.
    ///
    /// Leases are renewed after half of their time. An instance above its share
    /// releases slots; one below it takes free and expired ones.
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

    /// Returns the releases of all held slots, for a shutdown.
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

    fn releases(&self, retained_slots: u32) -> impl Iterator<Item = SlotWrite> {
        self.held
            .iter()
            .skip(retained_slots as usize)
            .map(|(slot, held)| SlotWrite::Release {
                slot: *slot,
                version: held.version,
            })
    }

    /// Returns writes that take slots: first those last held under this address,
    /// then others. Each instance begins at a different slot, so that instances
    /// that start together do not write the same ones.
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

    /// Returns whether a slot's holder can no longer use its lease.
    ///
    /// Either this process has seen the version unchanged for longer than the
    /// holder may refill from it, or the holder listened on this process's own
    /// address. A listening address is exclusive, so that holder ended before
    /// this process started. The write is conditional on the version, so it
    /// fails if the lease was renewed after the last list.
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

/// Returns how many slots above its share an instance may hold before it
/// releases any, so that a late heartbeat of a peer does not move slots back
/// and forth.
fn max_surplus(target_slots: u32) -> u32 {
    const SURPLUS_ONE_IN: u32 = 8;
    target_slots / SURPLUS_ONE_IN
}
