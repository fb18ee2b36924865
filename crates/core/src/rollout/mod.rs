//! Rolling updates of a model's engines to a new weights version, a few engines
//! at a time.
//!
//! Load pattern: engines run at half their capacity or more during the rollout.
//! If all engines were ordered to load at the same time, the loads would be
//! slow and nothing would be served; without draining, open streams would be
//! cut off. Therefore each engine is drained, ordered, probed and undrained, and
//! only then makes room for the next one. A version that can't be loaded or gives
//! no answer affects only the engines that are drained at the time, which return
//! to the previous version.

mod action;
mod drained_engine;
mod engine_snapshot;
mod machine;
mod plan;
mod settings;

pub use {
    action::Action,
    engine_snapshot::EngineSnapshot,
    machine::Rollout,
    plan::{Failure, Plan},
    settings::RolloutSettings,
};
