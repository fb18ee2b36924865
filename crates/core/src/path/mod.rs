//! Whether an instance reaches the engines of a service at all, and which peer serves its
//! requests while it doesn't.

mod peer_choice;
mod peer_paths;
mod report;
mod sample;
mod service_paths;
mod settings;

pub use {
    peer_choice::{PeerCandidate, choose_peer},
    peer_paths::PeerPaths,
    report::PathReport,
    sample::sample_engines,
    service_paths::ServicePaths,
    settings::PathSettings,
};
