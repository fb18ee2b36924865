//! Connections to engines, requests on them, and probes of silent engines.

mod connection;
mod exchange;
mod kv_stores;
mod pool;
mod probe;

pub use {
    connection::{ConnectError, connect},
    exchange::{Answer, SendError, send},
    kv_stores::watch_kv_stores,
    pool::{ConnectionPool, PooledConnection},
    probe::{ProbeReason, check_silent, probe_engine, probe_silent_engines},
};
