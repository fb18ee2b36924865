use {
    super::lock,
    mangowalk_core::peer::InstanceView,
    std::{collections::BTreeMap, net::SocketAddr, sync::Mutex},
};

/// Another instance as last heard of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSight {
    /// What it said of itself.
    pub view: InstanceView,
    /// When its heartbeat last grew.
    pub heard_ms: u64,
}

/// Other instances, by their address towards callers.
#[derive(Debug, Default)]
pub struct PeerBoard {
    sights: Mutex<BTreeMap<SocketAddr, PeerSight>>,
}

impl PeerBoard {
    /// Takes news of an instance; older news than held is dropped.
    pub fn hear(&self, view: &InstanceView, now_ms: u64) {
        let mut sights = lock(&self.sights);
        let newer = sights.get(&view.caller_address).is_none_or(|held| {
            (view.incarnation, view.heartbeat) > (held.view.incarnation, held.view.heartbeat)
        });
        if newer {
            let sight = PeerSight {
                view: view.clone(),
                heard_ms: now_ms,
            };
            sights.insert(view.caller_address, sight);
        }
    }

    /// Returns a copy of every sight.
    pub fn sights(&self) -> Vec<PeerSight> {
        lock(&self.sights).values().cloned().collect()
    }

    /// Forgets instances.
    pub fn retain(&self, keep: impl Fn(&PeerSight) -> bool) {
        lock(&self.sights).retain(|_, sight| keep(sight));
    }
}
