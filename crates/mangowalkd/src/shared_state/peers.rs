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

/// Another instance as last heard of.
pub use mangowalk_core::membership::Member as KnownPeer;

/// Other instances, by their address towards callers.
#[derive(Debug, Default)]
pub struct SharedPeers {
    members: Mutex<Members>,
    own_heartbeat: AtomicU64,
}

impl SharedPeers {
    /// Takes news of an instance; older news than held is dropped.
    pub fn merge_indirect(&self, view: &InstanceView, now_ms: u64) {
        lock(&self.members).merge_indirect(view, now_ms);
    }

    /// Takes what an instance says of itself.
    pub fn merge_direct(&self, view: &InstanceView, now_ms: u64) {
        lock(&self.members).merge_direct(view, now_ms);
    }

    /// Returns a copy of every sight of an instance that answers.
    pub fn reachable(&self) -> Vec<KnownPeer> {
        self.read(|m| m.all().filter(|m| !m.view.suspected).cloned().collect())
    }

    /// Returns the instances that answer and don't leave.
    pub fn live(&self) -> Vec<InstanceView> {
        self.read(|m| {
            let live = m.all().filter(|m| m.is_live());
            live.map(|m| m.view.clone()).collect()
        })
    }

    /// Reads what is known of all instances.
    pub fn read<T>(&self, reader: impl FnOnce(&Members) -> T) -> T {
        reader(&lock(&self.members))
    }

    /// Returns the news for one message.
    pub fn next_updates(&self) -> Vec<InstanceView> {
        lock(&self.members).next_updates()
    }

    /// Notes that an instance gave no answer.
    pub fn suspect(&self, address: SocketAddr, now_ms: u64) {
        lock(&self.members).suspect(address, now_ms);
    }

    /// Forgets instances that are gone for long.
    pub fn forget(&self, now_ms: u64) {
        lock(&self.members).forget(now_ms);
    }

    /// Forgets instances.
    pub fn retain(&self, keep: impl Fn(&Member) -> bool) {
        lock(&self.members).retain(keep);
    }

    /// Returns the counter that marks what this instance says of itself.
    pub fn own_heartbeat(&self) -> u64 {
        self.own_heartbeat.load(Ordering::SeqCst)
    }

    /// Raises the counter above what others tell, so that this instance's
    /// own word counts.
    pub fn raise_own_heartbeat(&self, heartbeat: u64) {
        self.own_heartbeat
            .fetch_max(heartbeat + 1, Ordering::SeqCst);
    }
}
