//! Heartbeats between instances, and the table of live peers.

mod bundle;
mod heartbeat;
mod members;
mod message;
mod relay_budget;
mod settings;

pub use {
    bundle::Bundle,
    heartbeat::{Heartbeat, OrderPhase, OrderReport, TeamReport},
    members::{Liveness, Member, MemberTable, Targets},
    message::{
        BUNDLE_BYTES, CANARY_VERSION, CAPACITY_VERSION, COMPRESSION_VERSION, CONFIRMATIONS_VERSION,
        EXCHANGE_VERSION, GROUPS_VERSION, LEAVING_VERSION, LIMITS_VERSION, LOANS_VERSION,
        MAX_DATAGRAM_BYTES, MessageError, ORIGINS_VERSION, PACK_BYTES, PACKS_VERSION,
        PARTS_VERSION, PASSING_VERSION, PeerMessage, READINGS_VERSION, split_packs,
    },
    relay_budget::RelayBudget,
    settings::MeshSettings,
};
