//! A small fleet for tests: stand-ins on threads of the test, routers as
//! processes.

mod address;
mod answer;
mod eventually;
mod raw_caller;
mod router;
mod setup;

pub use {
    address::free_address,
    answer::Answer,
    eventually::eventually,
    raw_caller::RawCaller,
    router::RouterProcess,
    setup::{Fleet, FleetSettings},
};
