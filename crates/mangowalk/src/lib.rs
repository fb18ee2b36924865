//! Command-line client for operators of mangowalk: writes records and keys, and
//! reports on the fleet, on service-level burn and on single requests.
//!
//! It uses the router's own platform client ([`mangowalkd::edge`]), so that
//! support for another platform API changes one implementation.

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
