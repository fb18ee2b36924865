use {
    super::{ControlTraffic, PeerStatus, Phase, RefusedRecord, UpstreamStatus},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The state of one instance, `GET /status` on its operator address.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Address towards callers.
    pub caller_address: SocketAddr,
    /// Address towards peers.
    pub peer_address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Number drawn at start.
    pub incarnation: u64,
    /// Version of the program.
    pub program_version: String,
    /// Phase.
    pub phase: Phase,
    /// Revision up to which every record is in force.
    pub revision: u64,
    /// Records that can't be put in force.
    pub refused: Vec<RefusedRecord>,
    /// Requests open now.
    pub open_requests: usize,
    /// Requests that wait for an engine.
    #[serde(default)]
    pub queued: usize,
    /// Shares of every rate that are held.
    pub slots: u32,
    /// Upstreams.
    pub upstreams: Vec<UpstreamStatus>,
    /// Other instances.
    pub peers: Vec<PeerStatus>,
    /// What was spent on control.
    #[serde(default)]
    pub control: ControlTraffic,
}
