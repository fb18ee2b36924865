//! The edge towards operators: status, health and metrics' facts, read only.
//!
//! It has an address of its own, so that callers never see the names of teams
//! or the load.

mod candidates;
mod explain;
mod handler;
mod server;
mod status;

pub use server::OperatorServer;
