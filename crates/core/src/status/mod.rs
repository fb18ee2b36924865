//! Types of the status API for operators.
//!
//! During an upgrade an old client may read the status of newer instances.
//! Unknown fields are therefore ignored, and new fields have defaults.

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
