//! What an instance publishes to operators, and what they ask it.
//!
//! An old client meets newer instances during an upgrade, so unknown fields
//! are ignored and new ones have defaults.

mod explain;
mod instance;
mod peer;
mod phase;
mod record;
mod refused;
mod traffic;
mod upstream;

pub use {
    explain::{Candidate, ExplainReply, ExplainRequest},
    instance::InstanceStatus,
    peer::PeerStatus,
    phase::Phase,
    record::RecordStatus,
    refused::RefusedRecord,
    traffic::ControlTraffic,
    upstream::UpstreamStatus,
};
