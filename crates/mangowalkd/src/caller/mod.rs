//! The edge towards callers: an OpenAI-compatible HTTP server.

mod addresses;
mod body;
mod caller_watch;
mod chat;
mod error;
mod framing;
mod handler;
mod listener;
mod messages;
mod models;
mod parameters;
mod reply;
mod request_id;
mod response_format;
mod server;
mod service;
mod sse;
mod stream;
mod untrusted;

pub use server::CallerServer;
