//! The mangowalk router: servers for callers and operators, the shared state, the
//! controllers that read and write it, and the edges to external systems.

pub mod caller;
pub mod cli;
pub mod controller;
pub mod edge;
pub mod metrics;
pub mod operator;
pub mod serve;
pub mod shared_state;

mod daemon;

pub use daemon::{Daemon, StartError};
