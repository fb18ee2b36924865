//! Bringing new weights to all engines: who orders, and in what pace.

mod lease;
mod named;
mod pace;
mod plan;

pub use {
    lease::{Held, Lease, LeaseSettings, Seen, Told, Vacant},
    named::{NamedAt, NamedWeights, Wanted, WeightsSettings},
    pace::LoadPace,
    plan::{PlanSettings, Step, Turn, plan},
};
