use {
    super::{Counts, Window},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What an instance counted, `GET /burn` on its operator address.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceBurn {
    /// Address towards callers.
    pub caller_address: SocketAddr,
    /// Counts by team.
    pub teams: Vec<TeamBurn>,
}

/// One team's counts as an instance publishes them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamBurn {
    /// Name of the team.
    pub team: String,
    /// The team's rate in force, 0 if it has none.
    pub tokens_per_s: u64,
    /// Counts by window.
    pub windows: Vec<WindowCounts>,
}

/// Counts over one window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Window.
    pub window: Window,
    /// Time that the counts cover.
    pub covered_ms: u64,
    /// Counts.
    pub counts: Counts,
}
