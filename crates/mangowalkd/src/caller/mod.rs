//! The edge towards callers: OpenAI-compatible HTTP.

mod addresses;
mod body;
mod chat;
mod condemned;
mod error;
mod framing;
mod handler;
mod listener;
mod messages;
mod models;
mod parameters;
mod reply;
mod request_id;
mod server;
mod service;
mod shape;
mod sse;
mod stream;

pub use server::CallerServer;
