//! Detection of poison requests, which crash each upstream that runs them.
//!
//! Crashes are counted per request identity (team and content), not per
//! connection, because callers retry through other instances. A crash is
//! attributed to all requests on the upstream only while none of them has more
//! crashes than the others. One completed answer clears a request.

mod crash_report;
mod ledger;
mod suspects;

pub use {
    crash_report::CrashReport,
    ledger::{CRASH_RETENTION_MS, MAX_CRASHES, PoisonLedger},
    suspects::most_suspect,
};
