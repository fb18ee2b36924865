//! The platform's store: one client, and what is followed there.

mod backoff;
mod client;
mod follow;
mod followers;
mod register;

pub use {
    client::{CallClient, CallError},
    followers::{watch_configuration, watch_engines, watch_weights},
    register::register,
};
