use serde::{Deserialize, Serialize};

/// One crash charged to one request, as instances tell each other.
///
/// It carries its age and no time, since their clocks differ. The age grows
/// wherever it goes, so that instances can't keep a charge alive by telling it
/// to one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Identity of the request.
    pub request: u64,
    /// Identity of the crash.
    pub crash: u64,
    /// Time since the crash.
    pub age_ms: u64,
    /// Whether the request has completed since.
    pub cleared: bool,
}
