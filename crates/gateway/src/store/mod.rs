//! The platform's store: one client, and what is watched there.

mod client;
mod watch;

pub use {
    client::{CallClient, CallError},
    watch::{register, watch_configuration, watch_engines, watch_weights},
};
