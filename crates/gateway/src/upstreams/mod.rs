//! Connections to engines, and one exchange on them.

mod connection;
mod exchange;
mod kept;
mod pool;
mod probe;

pub use {
    connection::{ConnectError, connect},
    exchange::{Answer, SendError, send},
    kept::watch_kept,
    pool::{Kept, Pool},
    probe::{doubt, is_silent, probe_silent},
};
