//! Read-only HTTP server for operators: status, health, counts and explanations.
//!
//! It has its own address, so that callers never see the names of teams or the
//! load.

mod candidates;
mod explain;
mod handler;
mod server;
mod status;

pub use server::OperatorServer;
