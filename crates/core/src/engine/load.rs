use serde::{Deserialize, Serialize};

/// An engine's report of its load, `GET /load`. It lags behind the actual load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that are running.
    pub running: u32,
    /// Requests in the engine's queue.
    pub waiting: u32,
    /// Maximum number of requests that run at once.
    pub slots: u32,
}

/// What an engine serves now, `GET /state`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineState {
    /// Number that the engine draws anew at each start.
    pub incarnation: u64,
    /// Name of the loaded model.
    pub model: String,
    /// Loaded weights version.
    pub version: String,
    /// Version of the engine's own program; empty if it doesn't tell it.
    #[serde(default)]
    pub software: String,
    /// Whether weights are being loaded; no request is served meanwhile.
    pub loading: bool,
    /// Highest fencing number received, 0 if the engine does not check it.
    pub fencing: u64,
    /// Load at the last report.
    pub load: LoadReport,
}
