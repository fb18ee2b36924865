//! Heartbeats between instances, and the table of live peers.

mod heartbeat;
mod members;
mod message;

pub use {
    heartbeat::{Heartbeat, OrderPhase, OrderReport, TeamReport},
    members::{Member, MemberTable, MeshSettings, Targets},
    message::{
        CANARY_VERSION, COMPRESSION_VERSION, EXCHANGE_VERSION, MAX_DATAGRAM_BYTES, MessageError,
        PACK_BYTES, PACKS_VERSION, PeerMessage, split_packs,
    },
};
