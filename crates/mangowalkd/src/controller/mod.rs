//! Controllers: each reads the shared state, calls one external system, and
//! writes its part of the shared state.

mod cache_events;
mod claim_writer;
mod config_watch;
mod crashes;
mod engine_poll;
mod gossip;
mod lease_manager;
mod model_rollout;
mod probe;
mod record_status;
mod registry;
mod rollout;
mod run;
mod slots;

pub use {
    cache_events::CacheEventReader,
    claim_writer::{ClaimWriter, flush_claims},
    config_watch::ConfigWatch,
    crashes::report_crashes,
    engine_poll::EnginePoll,
    gossip::{Gossip, answer},
    record_status::StatusWriter,
    rollout::RolloutController,
    run::{Controller, spawn},
    slots::{SlotHolder, release_slots},
};
