use {
    super::{Counts, Window},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Counts of an instance, `GET /burn` on its operator address.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceBurn {
    /// Address on which the instance serves callers.
    pub caller_address: SocketAddr,
    /// Counts by team.
    pub teams: Vec<TeamBurn>,
}

/// One team's counts as an instance publishes them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamBurn {
    /// Name of the team.
    pub team: String,
    /// Rate of the team in tokens per second, 0 if it has none.
    pub tokens_per_s: u64,
    /// Counts by window, the shortest first.
    pub windows: Vec<WindowCounts>,
}

/// Counts of one team over one window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Window that the counts belong to.
    pub window: Window,
    /// Time that the counts cover, in milliseconds.
    pub covered_ms: u64,
    /// Requests by result.
    pub counts: Counts,
}
