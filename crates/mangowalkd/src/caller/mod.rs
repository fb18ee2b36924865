//! The edge towards callers: OpenAI-compatible HTTP.

mod addresses;
mod chat;
mod error;
mod handler;
mod reply;
mod server;
mod service;
mod sse;

pub use server::CallerServer;
