//! Whom an instance serves, who waits, and who is refused when it is full.
//!
//! A request is sent when a candidate engine has room for it, and waits in a
//! fair queue otherwise. It waits here and not in an engine, because an
//! engine's own queue knows no teams, and what stands in it can't be moved to
//! an engine that becomes free first. A request that can't be served in time
//! is refused at once, as not run. See docs/admission.md.

mod dispatcher;
mod drain_rate;
mod fair_queue;
mod job;
mod settings;
mod team_queue;

pub use {
    dispatcher::{Decision, Dispatcher, EngineFilter},
    fair_queue::{FairQueue, QueueRefusal},
    job::Job,
    settings::{AdmissionProfile, AdmissionSettings},
};
