//! Connections to engines, requests on them, and probes of silent engines.

mod answer_error;
mod connection;
mod end_witness;
mod exchange;
mod head_fault;
mod kv_stores;
mod path;
mod pool;
mod probe;

pub use {
    answer_error::AnswerError,
    connection::{ConnectError, Connection, connect_to_engine, connect_to_peer, handshake},
    end_witness::confirm_end,
    exchange::{Answer, Destination, SendError, send},
    head_fault::HeadFault,
    kv_stores::watch_kv_stores,
    path::watch_paths,
    pool::{ConnectionPool, PooledConnection},
    probe::{ProbeReason, check_silent, probe_engine, probe_silent_engines},
};
