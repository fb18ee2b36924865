//! Bringing new weights to all engines: who orders, and in what pace.

mod lease;
mod plan;

pub use {
    lease::{Held, Lease, LeaseSettings, Seen, Vacant},
    plan::{PlanSettings, Step, Turn, plan},
};
