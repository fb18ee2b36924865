//! Requests that crash each upstream that runs them.
//!
//! Crashes are counted by the identity of the request, its team and content,
//! and not by connection: its caller sends it again, through other instances.
//! A request that was on the same upstream by chance shares the charge only
//! while none of them is more suspect than the others, and one completed
//! answer clears it.

mod crash_report;
mod ledger;
mod suspects;

pub use {
    crash_report::CrashReport,
    ledger::{CRASH_RETENTION_MS, MAX_CRASHES, PoisonLedger},
    suspects::most_suspect,
};
