//! Bringing new weights to all engines: who orders, and in what pace.

mod history;
mod lease;
mod load_concurrency;
mod plan;

pub use {
    history::{PublishedAt, VersionBounds, WeightsHistory, WeightsSettings},
    lease::{Held, HolderReport, Lease, LeaseSettings, ObservedRecord, Vacant},
    load_concurrency::LoadConcurrency,
    plan::{OutdatedEngine, PlanSettings, Step, plan},
};
