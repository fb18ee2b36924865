use {
    super::{ControlTraffic, PeerStatus, Phase, RefusedRecord, UpstreamStatus},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Status of one instance, `GET /status` on its operator address.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Address on which the instance serves callers.
    pub caller_address: SocketAddr,
    /// Address on which the instance serves peers.
    pub peer_address: SocketAddr,
    /// Failure domain in which the instance runs.
    pub failure_domain: String,
    /// Number that the instance draws anew at each start.
    pub incarnation: u64,
    /// Version of the program.
    pub program_version: String,
    /// Phase of the instance's life cycle.
    pub phase: Phase,
    /// Revision up to which every record is in force.
    pub revision: u64,
    /// Records that the instance can't put in force.
    pub refused: Vec<RefusedRecord>,
    /// Number of open requests.
    pub open_requests: usize,
    /// Number of requests that wait for an engine.
    #[serde(default)]
    pub queued: usize,
    /// Number of slots (shares of every rate) that the instance holds.
    pub slots: u32,
    /// Upstreams as this instance sees them.
    pub upstreams: Vec<UpstreamStatus>,
    /// Other instances as this instance sees them.
    pub peers: Vec<PeerStatus>,
    /// Control traffic since the start.
    #[serde(default)]
    pub control: ControlTraffic,
}
