use serde::{Deserialize, Serialize};

/// Control traffic of an instance since it started: everything except requests
/// and their answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlTraffic {
    /// Number of calls to the platform; a long poll of a watch counts as one.
    pub platform_calls: u64,
    /// Bytes sent to and received from the platform.
    pub platform_bytes: u64,
    /// Number of exchanges with peers that this instance started.
    pub peer_messages: u64,
    /// Bytes sent and received in these exchanges.
    pub peer_bytes: u64,
    /// Number of reads of engines' state and cache events.
    pub engine_calls: u64,
    /// Bytes sent and received in these reads.
    pub engine_bytes: u64,
}
