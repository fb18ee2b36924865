//! Stand-ins for the platform, engines and services, for tests and the demo.
//!
//! Each runs on threads of the calling process and can be made to fail the
//! way the real one does. None is part of a shipped program.

mod cache;
mod engine;
mod fleet;
mod http;
mod platform;
mod queue;
mod service;

pub use {
    engine::{EngineFaults, EngineSettings, EngineStandIn},
    fleet::{Answer, Fleet, FleetSettings, RawCaller, RouterProcess, eventually, free_address},
    platform::{PlatformFaults, PlatformStandIn},
    queue::{Deployment, Figures, Pattern, PolicyKind, RunSettings, Spread, simulate},
    service::{ServiceFaults, ServiceStandIn},
};
