//! A team's rate over all instances: one bucket, of which each instance keeps
//! an estimate by what the others tell that they have spent.

mod bucket;
mod table;

pub use {
    bucket::{FleetBucket, InstanceShare},
    table::{PeerReport, PeerSpending, ShareSettings, ShareTable},
};
