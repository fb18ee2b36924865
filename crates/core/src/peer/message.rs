use {
    crate::config::{Delta, Digest, Write},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A request to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Exchange of state. The answer is [`PeerReply::Exchange`].
    Exchange {
        /// The sender, as it sees itself.
        from: InstanceView,
        /// Records that the sender holds, in a constant size.
        digest: Digest,
        /// News of other instances, a bounded number.
        news: Vec<InstanceView>,
        /// Crashes seen: identity of the request, and of the crash.
        crashes: Vec<(u64, u64)>,
    },
    /// Asks for tokens of a team's rate. The answer is
    /// [`PeerReply::Granted`]; the giver has already deducted them.
    Grant {
        /// Team.
        team: String,
        /// Tokens needed.
        tokens: u64,
    },
}

/// An answer of a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The peer's side of an exchange.
    Exchange {
        /// The answering instance, as it sees itself.
        from: InstanceView,
        /// News of other instances, a bounded number.
        news: Vec<InstanceView>,
        /// Records that the asker may lack.
        delta: Delta,
        /// Crashes seen: identity of the request, and of the crash.
        crashes: Vec<(u64, u64)>,
    },
    /// Tokens granted, as many as were there of those asked for.
    Granted {
        /// Tokens, to be spent at once.
        tokens: u64,
    },
    /// The request can't be read by this version.
    Unsupported,
}

/// A record's state as peers exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// Kind of record, or of the system's own object.
    pub kind: String,
    /// Name of record.
    pub name: String,
    /// Version on the platform.
    pub version: u64,
    /// JSON text of the body; none if the record is withdrawn.
    pub body: Option<String>,
    /// The newest readable write below an unreadable one.
    pub last: Option<Write>,
}

/// An instance as peers see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceView {
    /// Address towards callers; it names the instance.
    pub caller_address: SocketAddr,
    /// Address towards peers.
    pub peer_address: SocketAddr,
    /// Number drawn at start; a later start has a higher one.
    pub incarnation: u64,
    /// Counter that only the instance itself raises, to state that what
    /// others said of it is out of date.
    pub heartbeat: u64,
    /// Failure domain.
    pub failure_domain: String,
    /// Whether the instance takes new callers.
    pub ready: bool,
    /// Whether the instance is leaving.
    pub departing: bool,
    /// Whether some instance got no answer from it.
    pub suspected: bool,
}
