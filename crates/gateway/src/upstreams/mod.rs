//! Connections to engines, requests on them, and probes of silent engines.

mod cache_store;
mod connection;
mod exchange;
mod pool;
mod probe;

pub use {
    cache_store::watch_cache_store,
    connection::{ConnectError, connect},
    exchange::{Answer, SendError, send},
    pool::{ConnectionPool, PooledConnection},
    probe::{ProbeReason, check_silent, probe_engine, probe_silent_engines},
};
