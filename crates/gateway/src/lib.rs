//! The router on one event loop, for machines with a fraction of a core.
//!
//! One thread does all the work, so what the parts share lies in one
//! [`instance::Instance`] without locks. Each part is a task that reads and
//! writes it; no borrow of it lasts over a wait.

pub mod callers;
pub mod instance;
pub mod logs;
pub mod mesh;
pub mod store;
pub mod upstreams;
pub mod weights;

mod clock;
mod critical_tasks;
mod run;

pub use {
    clock::{now_ms, wall_ms},
    critical_tasks::CriticalTasks,
    run::{RunError, read_settings, run},
};
