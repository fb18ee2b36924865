//! Heartbeats between instances.

mod exchange;

pub use exchange::{bind, exchange, send_to_domains};
