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
    /// Exchanges state. The answer is [`PeerReply::Exchange`].
    Exchange {
        /// State of the sender, as it reports itself.
        from: InstanceView,
        /// Digest of the sender's records; its size is constant.
        digest: Digest,
        /// Membership updates of other instances, bounded in number.
        #[serde(rename = "news")]
        updates: Vec<InstanceView>,
        /// Crashes attributed to requests.
        crashes: Vec<CrashReport>,
    },
    /// Asks for tokens of a team's rate. The answer is [`PeerReply::Granted`],
    /// and the granting peer has already deducted the tokens.
    Grant {
        /// Name of the team.
        team: String,
        /// Number of tokens needed.
        tokens: u64,
    },
    /// Refunds unused tokens of a grant. The answer is [`PeerReply::Granted`]
    /// with no tokens.
    GiveBack {
        /// Name of the team.
        team: String,
        /// Grant ID, as in [`PeerReply::Granted`].
        part: u64,
        /// Number of unused tokens.
        tokens: u64,
    },
    /// Reports crashes without waiting for the next exchange. The answer is
    /// [`PeerReply::Crashes`].
    Crashes {
        /// Crashes attributed to requests.
        crashes: Vec<CrashReport>,
    },
}

/// An answer of a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Answer to [`PeerRequest::Exchange`].
    Exchange {
        /// State of the answering instance, as it reports itself.
        from: InstanceView,
        /// Membership updates of other instances, bounded in number.
        #[serde(rename = "news")]
        updates: Vec<InstanceView>,
        /// Records that the requesting instance may lack.
        delta: Delta,
        /// Crashes attributed to requests.
        crashes: Vec<CrashReport>,
    },
    /// Answer to [`PeerRequest::Grant`] and [`PeerRequest::GiveBack`].
    Granted {
        /// Granted tokens, which may be spent at once: all that were asked for,
        /// or none.
        tokens: u64,
        /// Tokens that the granting peer has left.
        left_tokens: u64,
        /// Grant ID under which unused tokens can be refunded.
        part: u64,
    },
    /// This version cannot decode the request.
    Unsupported,
    /// Answer to [`PeerRequest::Crashes`], with the crashes that the peer
    /// knows.
    Crashes {
        /// Crashes attributed to requests.
        crashes: Vec<CrashReport>,
    },
}

/// State of a record as peers exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// Kind of the record, or of the system's own object.
    pub kind: String,
    /// Name of the record.
    pub name: String,
    /// Version that the platform assigned.
    pub version: u64,
    /// JSON text of the body; `None` if the record is withdrawn.
    pub body: Option<String>,
    /// The newest readable write, if the newest write is not readable.
    #[serde(rename = "last")]
    pub last_readable: Option<Write>,
}

/// State of an instance as exchanged between peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceView {
    /// Address for callers; it identifies the instance.
    pub caller_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Number drawn at start; a later start has a higher one.
    pub incarnation: u64,
    /// Counter that only the instance itself raises, to override outdated
    /// reports of it by others.
    pub heartbeat: u64,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Whether the instance accepts new callers.
    pub ready: bool,
    /// Whether the instance is leaving.
    pub departing: bool,
    /// Whether some instance got no answer from it.
    pub suspected: bool,
}
