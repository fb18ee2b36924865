//! Metrics by statsd over UDP.
//!
//! A controller reads the blackboard each second and sends what changed, so
//! that a request never waits for a metrics daemon.

mod client;
mod controller;

pub use {client::metrics_client, controller::MetricsReport};
