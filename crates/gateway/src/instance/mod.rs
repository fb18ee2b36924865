//! What the parts of an instance share.

mod blackboard;
mod counters;
mod crashes;
mod drain;
mod following;
mod heartbeats;
mod reload;
mod settings;

pub use {
    blackboard::{Instance, Notes},
    counters::Counters,
    crashes::{Crashes, hash},
    drain::Drain,
    following::Following,
    reload::{Reload, reloaded},
    settings::GatewaySettings,
};
