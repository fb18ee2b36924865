use {
    crate::serve::Router,
    mangowalk_core::edge::{Clock, Edges},
    serde::Serialize,
    std::net::SocketAddr,
};

/// Time for which a caller may keep the answer.
const KEEP_MS: u64 = 10_000;

/// Silence after which another instance is no longer named.
const SILENT_MS: u64 = 3_000;

#[derive(Debug, Serialize)]
struct Addresses {
    addresses: Vec<SocketAddr>,
    keep_ms: u64,
}

/// Returns the instances that a caller may use.
pub(super) fn body<E: Edges>(router: &Router<E>) -> Vec<u8> {
    let board = router.board();
    let now_ms = router.now_ms();
    let mut addresses: Vec<SocketAddr> = board
        .peers
        .sights()
        .into_iter()
        .filter(|p| p.view.ready && !p.view.departing)
        .filter(|p| now_ms.saturating_sub(p.heard_ms) < SILENT_MS)
        .map(|p| p.view.caller_address)
        .collect();
    if !board.life.is_departing() {
        addresses.push(board.identity.caller_address);
    }
    let body = Addresses {
        addresses,
        keep_ms: KEEP_MS,
    };
    serde_json::to_vec(&body).unwrap_or_default()
}

impl<E: Edges> Router<E> {
    /// Returns the present time.
    pub(crate) fn now_ms(&self) -> u64 {
        self.edges.clock().now_ms()
    }
}
