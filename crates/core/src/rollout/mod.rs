//! Changes of weights versions, a few engines at a time.
//!
//! Load pattern: engines serve at half their capacity or more while the
//! version changes. Ordered all at once, every engine would load together,
//! slowly, and nothing would be served; ordered without draining, open
//! streams would be cut. So an engine is drained, ordered, probed and put
//! back, and the next follows; a version that can't be loaded or doesn't
//! answer is met by one engine, which goes back to the version before.

mod action;
mod facts;
mod machine;
mod memory;
mod plan;
mod settings;

pub use {
    action::Action,
    facts::EngineSnapshot,
    machine::Rollout,
    plan::{Failure, Plan},
    settings::RolloutSettings,
};
