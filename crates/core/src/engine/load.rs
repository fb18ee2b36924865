use serde::{Deserialize, Serialize};

/// A lagging report of an engine's load, `GET /load`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that run now.
    pub running: u32,
    /// Requests that wait in the engine.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// What an engine serves now, `GET /state`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineState {
    /// Number drawn at each start of the engine.
    pub incarnation: u64,
    /// Model loaded.
    pub model: String,
    /// Weights version loaded.
    pub version: String,
    /// Whether weights are being loaded, so that nothing is served.
    pub loading: bool,
    /// Highest fencing number seen, 0 where the engine ignores it.
    pub fencing: u64,
    /// Load as last reported.
    pub load: LoadReport,
}
