use std::net::SocketAddr;

/// Who this instance is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Address towards callers.
    pub caller_address: SocketAddr,
    /// Address towards peers.
    pub peer_address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Number drawn at start; it tells this process from the ones before it
    /// on the same address.
    pub incarnation: u64,
}
