//! The router on one event loop, for machines with a fraction of a core.
//!
//! One thread does all the work, so the tasks share their state in one
//! [`instance::Instance`] without locks. Each task reads and writes it; no
//! borrow of it may be held across an await.

pub mod bounded;
pub mod callers;
pub mod instance;
pub mod logs;
pub mod mesh;
pub mod rollouts;
pub mod store;
pub mod upstreams;
pub mod weights;

mod clock;
mod critical_tasks;
mod loop_delay;
mod run;

pub use {
    clock::{now_ms, wall_ms},
    critical_tasks::CriticalTasks,
    run::{RunError, RunOptions, read_settings, run},
};
