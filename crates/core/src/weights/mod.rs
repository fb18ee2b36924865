//! Bringing new weights to all engines: who orders, and in what pace.

mod lease;
mod named;
mod pace;
mod plan;

pub use {
    lease::{Held, HolderReport, Lease, LeaseSettings, ObservedRecord, Vacant},
    named::{PublishedAt, VersionBounds, WeightsHistory, WeightsSettings},
    pace::LoadConcurrency,
    plan::{OutdatedEngine, PlanSettings, Step, plan},
};
