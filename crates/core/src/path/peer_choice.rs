use {crate::pool::rendezvous, std::net::SocketAddr};

/// A live peer that may serve a request of this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerCandidate<'a> {
    /// Name of the peer.
    pub name: &'a str,
    /// Address at which it takes requests of its peers.
    pub address: SocketAddr,
    /// Whether it is in the failure domain of this instance.
    pub is_near: bool,
    /// Requests of this instance that are open there.
    pub open: u32,
}

/// Number of candidates that are compared. Instances that are cut off together don't
/// know of the requests of each other, and would all choose the same peer.
const COMPARED: usize = 2;

/// Returns the peer to which a request is passed on: the one with fewer open requests
/// of two that `draw` selects, and of equal ones the nearer.
pub fn choose_peer<'a>(
    candidates: impl Iterator<Item = PeerCandidate<'a>>,
    draw: u64,
) -> Option<PeerCandidate<'a>> {
    let mut drawn: Vec<PeerCandidate<'a>> = candidates.collect();
    drawn.sort_by_key(|peer| rendezvous(draw, peer.name));
    let compared = drawn.into_iter().take(COMPARED);
    compared.min_by_key(|peer| (peer.open, !peer.is_near))
}
