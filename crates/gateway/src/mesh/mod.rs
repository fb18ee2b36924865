//! Heartbeats between instances.

mod exchange;
mod traffic;

pub use {
    exchange::{bind, exchange, send_canary_to_all, send_canary_to_readers, send_to_domains},
    traffic::{Direction, MeshTraffic},
};
