//! The blackboard: everything that controllers and requests share.
//!
//! Controllers read and write it, one part each; requests read it and note
//! what they saw. No part calls another, so each can be tested alone.

mod admission;
mod burn;
mod claims;
mod config;
mod engines;
mod identity;
mod lifecycle;
mod limits;
mod peers;
mod placed_attempt;
mod poison;
mod state;
mod upstreams;

pub use {
    admission::{DispatchSettings, SharedDispatcher},
    burn::{SharedBurn, UnsentCounts},
    claims::{ClaimWrite, SharedClaims},
    config::SharedConfig,
    engines::{InFlightGuard, KnownEngine, SharedEngines},
    identity::Identity,
    lifecycle::{Lifecycle, OpenRequestGuard},
    limits::SharedLimits,
    peers::{KnownPeer, SharedPeers},
    placed_attempt::PlacedAttempt,
    poison::{RunningRequest, SharedPoison},
    state::SharedState,
    upstreams::{SharedUpstreams, UpstreamAttempt},
};

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a part of the board. A panic of another holder leaves the state
/// usable: every part is written in one step.
pub(crate) fn lock<T>(part: &Mutex<T>) -> MutexGuard<'_, T> {
    part.lock().unwrap_or_else(PoisonError::into_inner)
}
