//! Team rates shared by all instances.
//!
//! Each team has one token bucket for the whole deployment. Every instance
//! keeps its own estimate of that bucket, which it corrects by the spending
//! that its peers report.

mod bucket;
mod table;

pub use {
    bucket::{FleetBucket, InstanceShare},
    table::{PeerReport, PeerSpending, ShareSettings, ShareTable},
};
