use {
    crate::{
        config::{Delta, Digest, Write},
        poison::CrashReport,
    },
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
        #[serde(rename = "news")]
        updates: Vec<InstanceView>,
        /// Crashes charged to requests.
        crashes: Vec<CrashReport>,
    },
    /// Asks for tokens of a team's rate. The answer is
    /// [`PeerReply::Granted`]; the giver has already deducted them.
    Grant {
        /// Team.
        team: String,
        /// Tokens needed.
        tokens: u64,
    },
    /// Gives unused tokens of a grant back. The answer is
    /// [`PeerReply::Granted`] with no tokens.
    GiveBack {
        /// Team.
        team: String,
        /// Number that the grant came with.
        part: u64,
        /// Tokens that were not used.
        tokens: u64,
    },
    /// Tells of crashes at once. The answer is [`PeerReply::Crashes`].
    Crashes {
        /// Crashes charged to requests.
        crashes: Vec<CrashReport>,
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
        #[serde(rename = "news")]
        updates: Vec<InstanceView>,
        /// Records that the asker may lack.
        delta: Delta,
        /// Crashes charged to requests.
        crashes: Vec<CrashReport>,
    },
    /// Tokens granted.
    Granted {
        /// Tokens, to be spent at once: all that were asked for, or none.
        tokens: u64,
        /// Tokens that are left.
        left_tokens: u64,
        /// Number under which unused tokens may come back.
        part: u64,
    },
    /// The request can't be read by this version.
    Unsupported,
    /// What the peer knows of crashes.
    Crashes {
        /// Crashes charged to requests.
        crashes: Vec<CrashReport>,
    },
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
    #[serde(rename = "last")]
    pub last_readable: Option<Write>,
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
