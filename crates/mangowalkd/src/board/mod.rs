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
mod life;
mod limits;
mod peers;
mod placed;
mod poison;
mod upstreams;
mod whole;

pub use {
    admission::{DispatchBoard, DispatchSettings},
    burn::{BurnBoard, Unsent},
    claims::{ClaimBoard, ClaimWrite},
    config::ConfigBoard,
    engines::{EngineBoard, EngineSight, InFlight},
    identity::Identity,
    life::{Life, OpenRequest},
    limits::LimitBoard,
    peers::{PeerBoard, PeerSight},
    placed::Placed,
    poison::{PoisonBoard, Running},
    upstreams::{UpstreamBoard, UpstreamRun},
    whole::Board,
};

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a part of the board. A panic of another holder leaves the state
/// usable: every part is written in one step.
pub(crate) fn lock<T>(part: &Mutex<T>) -> MutexGuard<'_, T> {
    part.lock().unwrap_or_else(PoisonError::into_inner)
}
