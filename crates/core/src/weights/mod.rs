//! Updates of engines to newly published weights: which instance may send
//! orders, how many engines load concurrently, and which versions requests may
//! still use meanwhile.

mod history;
mod lease;
mod load_concurrency;
mod plan;

pub use {
    history::{PublishedAt, VersionBounds, WeightsHistory, WeightsSettings},
    lease::{HolderReport, ObservedRecord, OrderLease, OrderLeaseHeld, OrderLeaseSettings, Vacant},
    load_concurrency::LoadConcurrency,
    plan::{OutdatedEngine, PlanSettings, Step, plan},
};
