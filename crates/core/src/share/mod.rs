//! A team's rate over all instances, divided among them by demand.

mod bucket;
mod table;

pub use {
    bucket::{RateShare, ShareSettings},
    table::{Demand, ShareTable},
};
