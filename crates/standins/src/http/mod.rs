//! The HTTP server that every stand-in uses.

mod server;

pub(crate) use server::{Exchange, Server};
