//! A small fleet for tests: stand-ins on threads, routers as processes.

mod answer;
mod router;
mod whole;

pub use {
    answer::Answer,
    router::{RouterProcess, free_address},
    whole::{Fleet, FleetSettings},
};
