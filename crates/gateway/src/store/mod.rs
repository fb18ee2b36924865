//! Client of the platform's store, and the tasks that follow objects in it.

mod backoff;
mod builds;
mod client;
mod follow;
mod followers;
mod reading;
mod register;

pub use {
    builds::keep_builds,
    client::{CallClient, CallError},
    followers::{watch_configuration, watch_engines, watch_rollouts, watch_weights},
    reading::{Listing, Reading},
    register::register,
};
