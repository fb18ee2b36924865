//! Roll-outs of a service's software: a new version of the engines gets a few
//! requests first, is compared with the version in use, and either takes over or is
//! withdrawn.
//!
//! Each instance keeps to the allowed share by its own requests alone, so that the
//! bound holds over all instances whatever they hear of each other. One or two
//! instances, the deciders, add up what all have seen and tell the others how much to
//! send to the new version.

mod budget;
mod decider;
mod evidence;
mod fleet;
mod message;
mod open_order;
mod order;
mod samples;
mod service;
mod settings;
mod subset;
mod table;

pub use {
    budget::ExposureBudget,
    decider::{Canary, CanaryInputs, CanaryState, Decided, Reason, Shifting, Trial},
    evidence::{Alarm, Measure, RouteEvidence},
    fleet::{FleetReports, LOST_ANSWERS},
    message::{CanaryDirective, CanaryMessage, CanaryReport, LossReport, RouteReport},
    order::{CanaryOrder, OrderId, Outcome},
    samples::{Sample, Samples, VersionSamples},
    settings::{CanarySettings, ExposureLimits},
    subset::tried_engines,
    table::{Lane, SoftwareRole, SoftwareTable},
};
