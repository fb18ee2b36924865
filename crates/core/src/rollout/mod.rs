//! Rolling updates of a model's engines to a new weights version.
//!
//! Load pattern: engines run at half their capacity or more during the rollout.
//! If all engines were ordered to load at the same time, the loads would be
//! slow and nothing would be served; without draining, open streams would be
//! cut off. Therefore each engine is drained, ordered, probed and undrained
//! before the next one follows. A version that can't be loaded or gives no
//! answer affects one engine, which returns to the previous version.

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
