//! What instances tell each other, and which of them are there.

mod heartbeat;
mod members;
mod word;

pub use {
    heartbeat::{Heartbeat, OrderNote, OrderPhase, TeamNote},
    members::{Member, MemberTable, MeshSettings, Targets},
    word::{Way, Word},
};
