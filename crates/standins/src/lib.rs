//! Stand-ins for the platform, engines and services, for tests and the demo,
//! and a queue model that compares placement and admission policies.
//!
//! Each stand-in runs on threads of the calling process. Faults can be
//! injected that the real platform, engine or service may show. None of them
//! is part of a shipped program.

mod cache;
mod endings;
mod engine;
mod fleet;
mod http;
mod platform;
mod queue;
mod service;

pub use {
    endings::{End, outcome_of_answer, outcomes_of_cuts},
    engine::{EngineFaults, EngineSettings, EngineStandIn},
    fleet::{Answer, Fleet, FleetSettings, RawCaller, RouterProcess, eventually, free_address},
    platform::{PlatformFaults, PlatformStandIn},
    queue::{Deployment, Figures, Pattern, PolicyKind, RunSettings, Spread, simulate},
    service::{ServiceFaults, ServiceStandIn},
};
