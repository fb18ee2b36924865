//! What instances tell each other, and which of them are there.

mod heartbeat;
mod members;
mod message;

pub use {
    heartbeat::{Heartbeat, OrderPhase, OrderReport, TeamReport},
    members::{Member, MemberTable, MeshSettings, Targets},
    message::{Delivery, MeshMessage},
};
