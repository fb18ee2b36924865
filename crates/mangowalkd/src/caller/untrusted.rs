use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

/// Maximum number of stored connections. All are dropped when it is reached.
const MAX_CONNECTIONS: usize = 4_096;

/// Connections whose further requests are refused, by the caller's address.
///
/// The server keeps reading a connection after a refused request and offers no
/// way to close it. If the end of that request is uncertain, those bytes may be
/// the rest of a body that looks like a request (request smuggling), so no
/// further request on that connection is served.
#[derive(Debug, Default)]
pub(super) struct UntrustedConnections {
    since_ms: Mutex<HashMap<SocketAddr, u64>>,
}

impl UntrustedConnections {
    /// Marks a connection as untrusted.
    pub(super) fn add(&self, caller: Option<&SocketAddr>, now_ms: u64) {
        let Some(caller) = caller else { return };
        let mut since_ms = self.since_ms.lock().unwrap_or_else(PoisonError::into_inner);
        if since_ms.len() >= MAX_CONNECTIONS {
            since_ms.clear();
        }
        since_ms.insert(*caller, now_ms);
    }

    /// Returns whether a connection is untrusted. An entry expires after
    /// `retention_ms`, as another caller may use the port later. Idle
    /// connections are closed before that.
    pub(super) fn contains(
        &self,
        caller: Option<&SocketAddr>,
        retention_ms: u64,
        now_ms: u64,
    ) -> bool {
        let Some(caller) = caller else { return false };
        let mut since_ms = self.since_ms.lock().unwrap_or_else(PoisonError::into_inner);
        match since_ms.get(caller) {
            Some(added_ms) if now_ms.saturating_sub(*added_ms) < retention_ms => true,
            Some(_) => {
                since_ms.remove(caller);
                false
            }
            None => false,
        }
    }
}
