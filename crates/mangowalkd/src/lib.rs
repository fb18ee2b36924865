//! The mangowalk router: edges to the outside, the blackboard, and the
//! controllers that read and write it.

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
