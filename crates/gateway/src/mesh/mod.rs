//! Heartbeats between instances.

mod exchange;

pub use exchange::{bind, exchange};
