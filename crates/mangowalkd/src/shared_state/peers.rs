use {
    super::lock,
    mangowalk_core::{
        membership::{Member, Members},
        peer::InstanceView,
    },
    std::{
        net::SocketAddr,
        sync::{
            Mutex,
            atomic::{AtomicU64, Ordering},
        },
    },
};

/// The last known state of another instance.
pub use mangowalk_core::membership::Member as KnownPeer;

/// The known other instances, by the address on which they listen to callers.
#[derive(Debug, Default)]
pub struct SharedPeers {
    members: Mutex<Members>,
    own_heartbeat: AtomicU64,
}

impl SharedPeers {
    /// Merges a view of an instance that another one reported. A view that is
    /// not newer than the known one is dropped, see
    /// [`Members::merge_indirect`].
    pub fn merge_indirect(&self, view: &InstanceView, now_ms: u64) {
        lock(&self.members).merge_indirect(view, now_ms);
    }

    /// Merges the view that an instance reported of itself.
    pub fn merge_direct(&self, view: &InstanceView, now_ms: u64) {
        lock(&self.members).merge_direct(view, now_ms);
    }

    /// Returns a copy of every instance that is not suspected to have failed.
    pub fn reachable(&self) -> Vec<KnownPeer> {
        self.read(|m| m.all().filter(|m| !m.view.suspected).cloned().collect())
    }

    /// Returns the instances that are neither suspected to have failed nor
    /// departing.
    pub fn live(&self) -> Vec<InstanceView> {
        self.read(|m| {
            let live = m.all().filter(|m| m.is_live());
            live.map(|m| m.view.clone()).collect()
        })
    }

    /// Calls `reader` with all known instances while they are locked.
    pub fn read<T>(&self, reader: impl FnOnce(&Members) -> T) -> T {
        reader(&lock(&self.members))
    }

    /// Returns the membership updates to send in one message.
    pub fn next_updates(&self) -> Vec<InstanceView> {
        lock(&self.members).next_updates()
    }

    /// Marks an instance as suspected because it did not respond.
    pub fn suspect(&self, address: SocketAddr, now_ms: u64) {
        lock(&self.members).suspect(address, now_ms);
    }

    /// Removes the instances that have been gone for long.
    pub fn forget(&self, now_ms: u64) {
        lock(&self.members).forget(now_ms);
    }

    /// Removes the instances for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&Member) -> bool) {
        lock(&self.members).retain(keep);
    }

    /// Returns the heartbeat counter that this instance puts on its own view.
    pub fn own_heartbeat(&self) -> u64 {
        self.own_heartbeat.load(Ordering::SeqCst)
    }

    /// Raises the own heartbeat counter above `heartbeat`, a value that others
    /// report for this instance, so that its own view replaces theirs.
    pub fn raise_own_heartbeat(&self, heartbeat: u64) {
        self.own_heartbeat
            .fetch_max(heartbeat + 1, Ordering::SeqCst);
    }
}
