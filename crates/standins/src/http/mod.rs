//! The little HTTP that every stand-in shares.

mod server;

pub(crate) use server::{Exchange, Server};
