//! Detection of parts of prompts that crash each engine which begins to answer them,
//! whatever else the request holds.
//!
//! Instances report the shared parts of the requests that a crashed engine lost to a few
//! arbiters of the service. A part that was on two crashed engines is watched: whoever
//! completes an answer on it tells the arbiter, which clears it. A part that was on three and
//! never completed meanwhile, while other requests did, is rejected by all instances.

mod arbiters;
mod engine_crash;
mod evidence;
mod message;
mod recent_answers;
mod rejected_parts;
mod service_evidence;
mod settings;
mod watched_parts;

pub use {
    arbiters::{arbiters, is_trial_instance},
    engine_crash::{EngineCrash, reported_parts},
    evidence::CrashEvidence,
    message::{CompletedPart, PartMessage},
    recent_answers::RecentAnswers,
    rejected_parts::{RejectedPart, RejectedParts},
    service_evidence::PartDecision,
    settings::CrashPartSettings,
    watched_parts::WatchedParts,
};
