use serde::{Deserialize, Serialize};

/// What an instance has spent on control since it started: everything but
/// requests and their answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlTraffic {
    /// Calls of the platform; a waiting watch is one.
    pub platform_calls: u64,
    /// Bytes to and from the platform.
    pub platform_bytes: u64,
    /// Exchanges with peers that this instance started.
    pub peer_messages: u64,
    /// Bytes of those exchanges, both ways.
    pub peer_bytes: u64,
    /// Reads of engines' state and cache events.
    pub engine_calls: u64,
    /// Bytes of those reads, both ways.
    pub engine_bytes: u64,
}
