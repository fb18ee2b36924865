use {
    super::{Level, Objective, Window},
    serde::{Deserialize, Serialize},
};

/// Burn of one team and objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// Name of the team.
    pub team: String,
    /// Objective.
    pub objective: Objective,
    /// How urgent it is.
    pub level: Level,
    /// Burn by window, the shortest first.
    pub windows: Vec<WindowBurn>,
}

/// Burn over one window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Window.
    pub window: Window,
    /// Requests that met the objective.
    pub good: u64,
    /// Requests that missed it.
    pub bad: u64,
    /// Speed at which the budget is used: 1.0 uses it up exactly.
    pub burn: f64,
}
