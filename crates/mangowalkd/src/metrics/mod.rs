//! Metrics, sent to statsd over UDP.
//!
//! A controller reads the shared state every second and sends the new counts, so
//! that a request never waits for a metrics daemon.

mod client;
mod controller;

pub use {client::metrics_client, controller::MetricsReport};
