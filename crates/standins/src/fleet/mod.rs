//! A small fleet for tests: stand-ins on threads, routers as processes.

mod address;
mod answer;
mod eventually;
mod raw;
mod router;
mod whole;

pub use {
    address::free_address,
    answer::Answer,
    eventually::eventually,
    raw::RawCaller,
    router::RouterProcess,
    whole::{Fleet, FleetSettings},
};
