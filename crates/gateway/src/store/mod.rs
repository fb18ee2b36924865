//! Client of the platform's store, and the tasks that follow objects in it.

mod backoff;
mod builds;
mod client;
mod follow;
mod followers;
mod kept;
mod reading;
mod refused;
mod register;
mod rejected_parts;

pub use {
    builds::{keep_builds, read_builds},
    client::{CallClient, CallError},
    followers::{watch_configuration, watch_engines, watch_rollouts, watch_weights},
    reading::{Listing, Reading},
    register::register,
    rejected_parts::keep_rejected_parts,
};
