use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

/// Connections that are remembered at once.
const MAX_CONNECTIONS: usize = 4_096;

/// Connections whose bytes can't be trusted any more, by the caller's address.
///
/// The server goes on to read a connection behind a refused request, and
/// offers no way to close it. After a doubtful length those bytes may be the
/// rest of a body made to look like a request, so none of them is served.
#[derive(Debug, Default)]
pub(super) struct UntrustedConnections {
    since_ms: Mutex<HashMap<SocketAddr, u64>>,
}

impl UntrustedConnections {
    /// Serves nothing more from a connection.
    pub(super) fn add(&self, caller: Option<&SocketAddr>, now_ms: u64) {
        let Some(caller) = caller else { return };
        let mut since_ms = self.since_ms.lock().unwrap_or_else(PoisonError::into_inner);
        if since_ms.len() >= MAX_CONNECTIONS {
            since_ms.clear();
        }
        since_ms.insert(*caller, now_ms);
    }

    /// Returns whether a connection is condemned. A port that another caller
    /// uses later is free again after `retention_ms`: a silent connection is closed
    /// before that.
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
