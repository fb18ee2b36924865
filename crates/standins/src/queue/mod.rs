//! A queue model of the engines, which compares the router's own decisions
//! with simple baseline policies in simulated time.
//!
//! It models only what the decisions depend on: slots of a continuous batch,
//! one prefill at a time, a prefix cache with eviction, and reports and cache
//! events that lag. Figures that hold for real engines require measurements on
//! them.

mod baseline;
mod deployment;
mod engine;
mod engine_events;
mod faults;
mod figures;
mod mangowalk;
mod pattern;
mod policy;
mod polling;
mod request;
mod run;
mod workload;

pub use {
    deployment::Deployment,
    figures::{Figures, Spread},
    pattern::Pattern,
    policy::PolicyKind,
    run::{RunSettings, simulate},
};
