//! Updates of engines to newly published weights: which instance may send
//! orders, how many engines load concurrently, and which versions requests may
//! still use meanwhile.

mod change_progress;
mod history;
mod lease;
mod load_concurrency;
mod loading_places;
mod plan;
mod rolling_plan;

pub use {
    change_progress::ChangeProgress,
    history::{PublishedAt, VersionBounds, WeightsHistory, WeightsSettings},
    lease::{
        HolderReport, LeaseClaim, ObservedRecord, OrderLease, OrderLeaseHeld, OrderLeaseSettings,
        Vacant,
    },
    load_concurrency::LoadConcurrency,
    loading_places::{FinishedLoad, LoadingPlaces},
    plan::{OutdatedEngine, PlanSettings, Step, plan},
    rolling_plan::{LoadBounds, ModelLoad, RollingSettings, plan_rolling},
};
