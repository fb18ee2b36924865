//! Requests that crash each upstream that runs them.
//!
//! Crashes are counted by the identity of the request, its team and content,
//! and not by connection: its caller sends it again, through other instances.
//! A request that was on the same upstream by chance shares the charge only
//! while none of them is more suspect than the others, and one completed
//! answer clears it.

mod charge;
mod ledger;
mod sight;

pub use {
    charge::charged,
    ledger::{FORGET_MS, MOST_CRASHES, PoisonLedger},
    sight::CrashSight,
};
