//! A small fleet for tests: stand-ins on threads, routers as processes.

mod address;
mod answer;
mod eventually;
mod router;
mod whole;

pub use {
    address::free_address,
    answer::Answer,
    eventually::eventually,
    router::RouterProcess,
    whole::{Fleet, FleetSettings},
};
