//! The `ask` command: sends a chat request as a caller would.

mod addresses;
mod answer;
mod base_url;
mod command;
mod send;

pub(crate) use command::{Ask, ask};
