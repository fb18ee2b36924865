use {
    super::{KvStoreReport, SaveClaims, StoreContents},
    crate::pool::rendezvous,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// How long reports of KV cache stores hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KvStoreSettings {
    /// Time without a report after which nothing is known of a store. Followers
    /// report twice a second.
    pub report_timeout_ms: u64,
    /// Minimum interval between two readings of all changes of a store, by an
    /// instance that doesn't follow it.
    pub catch_up_interval_ms: u64,
    /// Number of parts by which the known contents may fall short of a report before
    /// they are read again: lost reports, or those from before the start. One or two
    /// lost reports stay below it, and each missing part costs one save only.
    pub missing_parts: usize,
}

impl Default for KvStoreSettings {
    fn default() -> KvStoreSettings {
        KvStoreSettings {
            report_timeout_ms: 2_000,
            catch_up_interval_ms: 5_000,
            missing_parts: 32,
        }
    }
}

#[derive(Debug, Default)]
struct KnownStore {
    contents: StoreContents,
    reported_ms: u64,
    /// Number of parts in the last report.
    reported_count: usize,
    caught_up_ms: Option<u64>,
}

impl KnownStore {
    fn apply_changes(&mut self, changes: &[(u64, bool)]) {
        for &(key, is_stored) in changes {
            self.contents.apply_change(key, is_stored);
        }
    }
}

/// All KV cache stores of the configuration. Each part has one of them as its home,
/// so that together they hold more than one could and share the transfers.
#[derive(Debug, Default)]
pub struct KvStores {
    stores: BTreeMap<SocketAddr, KnownStore>,
    claims: SaveClaims,
}

impl KvStores {
    /// Sets the addresses of the stores, as configured.
    pub fn set_addresses(&mut self, addresses: &[SocketAddr], now_ms: u64) {
        self.stores.retain(|address, _| addresses.contains(address));
        for &address in addresses {
            self.stores.entry(address).or_insert_with(|| KnownStore {
                reported_ms: now_ms,
                ..KnownStore::default()
            });
        }
    }

    /// Returns the known contents of a store; `None` if it isn't configured.
    pub fn contents(&self, address: SocketAddr) -> Option<&StoreContents> {
        Some(&self.stores.get(&address)?.contents)
    }

    /// Returns the known contents of a store; `None` if it isn't configured.
    pub fn contents_mut(&mut self, address: SocketAddr) -> Option<&mut StoreContents> {
        Some(&mut self.stores.get_mut(&address)?.contents)
    }

    /// Returns the store that holds the part with this key.
    pub fn holder(&self, key: u64) -> Option<SocketAddr> {
        let mut stores = self.stores.iter();
        let holder = stores.find(|(_, store)| store.contents.holds(key));
        holder.map(|(address, _)| *address)
    }

    /// Returns the store in which a part is saved: the one with the highest
    /// rendezvous hash among those that answer. All instances choose the same one
    /// without communication, and a store that is lost moves no other parts.
    pub fn home(&self, part: u64) -> Option<SocketAddr> {
        let answering = self
            .stores
            .iter()
            .filter(|(_, store)| store.contents.is_up());
        let addresses = answering.map(|(address, _)| *address);
        addresses.max_by_key(|address| rendezvous(part, &address.to_string()))
    }

    /// Claims the saving of a part; see [`SaveClaims::claim`].
    pub fn claim_save(&mut self, part: u64, now_ms: u64) -> bool {
        self.claims.claim(part, now_ms)
    }

    /// Applies the answer of a store to this instance: its epoch, whether changes
    /// before these were lost, and the changes as in [`KvStoreReport::changes`].
    pub fn apply_answer(
        &mut self,
        address: SocketAddr,
        epoch: u64,
        is_lost: bool,
        changes: &[(u64, bool)],
        now_ms: u64,
    ) {
        let Some(store) = self.stores.get_mut(&address) else {
            return;
        };
        store.reported_ms = now_ms;
        store.contents.record_answer(epoch, is_lost);
        store.apply_changes(changes);
    }

    /// Applies the report of a peer that follows a store.
    pub fn apply_report(&mut self, report: &KvStoreReport, now_ms: u64) {
        let Some(store) = self.stores.get_mut(&report.store) else {
            return;
        };
        store.reported_ms = now_ms;
        store.reported_count = report.held_count as usize;
        if !report.is_up {
            return store.contents.mark_down();
        }
        store.contents.record_answer(report.epoch, false);
        store.apply_changes(&report.changes);
    }

    /// Drops what is known of the stores that no peer has reported for a while.
    pub fn expire_reports(&mut self, settings: &KvStoreSettings, now_ms: u64) {
        for store in self.stores.values_mut() {
            if now_ms >= store.reported_ms + settings.report_timeout_ms {
                store.contents.mark_unknown();
                store.reported_ms = now_ms;
                store.reported_count = 0;
            }
        }
    }

    /// Returns the stores whose changes this instance should read once, as it knows
    /// of far fewer parts than peers report, and records that it does.
    pub fn take_catch_ups(&mut self, settings: &KvStoreSettings, now_ms: u64) -> Vec<SocketAddr> {
        let behind = self.stores.iter_mut().filter(|(_, store)| {
            let missing = store
                .reported_count
                .saturating_sub(store.contents.held_count());
            let is_allowed = store
                .caught_up_ms
                .is_none_or(|at_ms| now_ms >= at_ms + settings.catch_up_interval_ms);
            missing > settings.missing_parts && is_allowed
        });
        behind
            .map(|(address, store)| {
                store.caught_up_ms = Some(now_ms);
                *address
            })
            .collect()
    }
}
