//! Heartbeats between instances, and the table of live peers.

mod heartbeat;
mod members;
mod message;

pub use {
    heartbeat::{Heartbeat, OrderPhase, OrderReport, TeamReport},
    members::{Member, MemberTable, MeshSettings, Targets},
    message::PeerMessage,
};
