//! A queue model of each upstream, driven in simulated time by the router's
//! own decisions and by plain baselines.
//!
//! It models what the decisions weigh and nothing more: slots of a continuous
//! batch, one prefill at a time, a prefix cache that evicts, reports and cache
//! events that lag. Figures for real engines need a measurement of these.

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
