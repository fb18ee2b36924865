//! The operators' client of mangowalk: records, keys, the fleet and the
//! report on service-level burn.
//!
//! It reaches the platform through the router's own edge, so that another
//! dialect of the platform changes one implementation.

pub mod cli;

mod ask;
mod burn;
mod explain;
mod failure;
mod fleet;
mod keys;
mod output;
mod records;
mod story;
