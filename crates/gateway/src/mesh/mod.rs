//! Heartbeats between instances.

mod exchange;
mod traffic;

pub use {
    exchange::{bind, exchange, send_to_domains},
    traffic::MeshTraffic,
};
