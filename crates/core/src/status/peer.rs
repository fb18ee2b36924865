use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Another instance as one instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Address towards callers.
    pub caller_address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Whether it takes new callers.
    pub ready: bool,
    /// Whether it leaves.
    pub departing: bool,
    /// Time since its heartbeat last grew.
    pub silent_ms: u64,
}
