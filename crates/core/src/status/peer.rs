use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Status of another instance, as one instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Address on which the peer serves callers.
    pub caller_address: SocketAddr,
    /// Failure domain in which the peer runs.
    pub failure_domain: String,
    /// Whether the peer accepts new callers.
    pub ready: bool,
    /// Whether the peer is departing.
    pub departing: bool,
    /// Time since its heartbeat counter last increased, in milliseconds.
    pub silent_ms: u64,
}
