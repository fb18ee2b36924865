//! Heartbeats between instances.

mod exchange;
mod limits;
mod loans;
mod origins;
mod paths;
mod traffic;

pub use {
    exchange::{exchange, send_canary_to_all, send_canary_to_readers, send_to_domains},
    limits::report_limits,
    loans::{exchange_loans, take_retry},
    origins::{exchange_origins, find_origin, tell_origin},
    traffic::{Direction, MeshTraffic},
};
