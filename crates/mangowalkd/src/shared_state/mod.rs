//! State that controllers and request handlers share.
//!
//! Each controller reads it and writes the parts that it maintains. Request
//! handlers read it and record what they observe. No controller calls another,
//! so each can be tested alone.

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
    burn::{SharedOutcomeCounts, UnsentCounts},
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

/// Locks a part of the state and ignores poisoning: every part is written in
/// one step, so it is consistent after a panic of another holder.
pub(crate) fn lock<T>(part: &Mutex<T>) -> MutexGuard<'_, T> {
    part.lock().unwrap_or_else(PoisonError::into_inner)
}
