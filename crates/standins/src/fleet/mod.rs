//! A small fleet for tests: stand-ins on threads, routers as processes.

mod answer;
mod eventually;
mod router;
mod whole;

pub use {
    answer::Answer,
    eventually::eventually,
    router::{RouterProcess, free_address},
    whole::{Fleet, FleetSettings},
};
