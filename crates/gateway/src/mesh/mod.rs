//! Heartbeats between instances.

mod exchange;

pub use exchange::{exchange, open};
