use {
    super::{Level, Objective, Window},
    serde::{Deserialize, Serialize},
};

/// Burn rates of one team for one objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// Name of the team.
    pub team: String,
    /// Objective that the burn rates refer to.
    pub objective: Objective,
    /// Alert level.
    pub level: Level,
    /// Burn rates by window, the shortest first.
    pub windows: Vec<WindowBurn>,
}

/// Burn rate over one window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Window that the burn rate covers.
    pub window: Window,
    /// Number of requests that met the objective.
    pub good: u64,
    /// Number of requests that missed it.
    pub bad: u64,
    /// Burn rate: 1.0 uses up the error budget exactly.
    pub burn: f64,
}
