use std::net::SocketAddr;

/// Identity of this instance towards callers, peers and the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Address on which it listens to callers.
    pub caller_address: SocketAddr,
    /// Address on which it listens to peers.
    pub peer_address: SocketAddr,
    /// Failure domain in which it runs.
    pub failure_domain: String,
    /// Random number drawn at start. It distinguishes this process from
    /// earlier ones on the same address.
    pub incarnation: u64,
}
