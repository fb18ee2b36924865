//! What the parts of an instance share.

mod blackboard;
mod counters;
mod drain;
mod settings;

pub use {
    blackboard::{Instance, Notes},
    counters::Counters,
    drain::Drain,
    settings::GatewaySettings,
};
