//! A small fleet for tests: stand-ins on threads, routers as processes.

mod address;
mod answer;
mod raw;
mod router;
mod whole;

pub use {
    address::free_address,
    answer::Answer,
    raw::RawCaller,
    router::RouterProcess,
    whole::{Fleet, FleetSettings},
};
