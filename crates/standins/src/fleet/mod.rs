//! A small fleet for tests: stand-ins on threads, routers as processes.

mod address;
mod answer;
mod router;
mod whole;

pub use {
    address::free_address,
    answer::Answer,
    router::RouterProcess,
    whole::{Fleet, FleetSettings},
};
