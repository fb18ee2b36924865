use serde::{Deserialize, Serialize};

/// One crash attributed to one request, as exchanged between instances.
///
/// It contains the age of the crash and not its time, since the instances'
/// clocks differ. The age keeps growing on every instance, so that exchanging a
/// report does not extend its retention.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Identity of the request.
    pub request: u64,
    /// Identity of the crash.
    pub crash: u64,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Whether the request has completed since the crash.
    pub cleared: bool,
}
