//! Connections to engines, and one exchange on them.

mod connection;
mod exchange;
mod pool;

pub use {
    connection::{ConnectError, connect},
    exchange::{Answer, SendError, send},
    pool::{Kept, Pool},
};
