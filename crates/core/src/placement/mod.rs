//! Placement: the choice of an engine for a request.
//!
//! Prompts share long prefixes that are nested in levels. Computing a missed
//! prefix costs far more than a cache hit, and a few prefixes are very hot.
//! Each candidate is rated by its expected time to first token: the wait at the
//! engine plus the prefill of the blocks that it lacks. The set of candidates
//! is bounded: engines known to hold the deepest cached prefix of the prompt,
//! home engines that every instance computes alike, and two random ones. See
//! docs/placement.md for the alternatives and the measurements.

mod block_index;
mod blocks;
mod candidates;
mod checkpoints;
mod choice;
mod decide;
mod fleet;
mod prefix_table;
mod ring;
mod settings;
mod tracked_engine;

pub use {
    blocks::{BLOCK_BYTES, TOKEN_BYTES, block_chain, estimate_tokens},
    checkpoints::{PrefixCheckpoint, prefix_checkpoints},
    choice::{Choice, PlacementRequest},
    decide::Placement,
    settings::PlacementSettings,
    tracked_engine::EngineSpec,
};
