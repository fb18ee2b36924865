//! When an instance is last known to have had the store's current state.
//!
//! An answer of the store that may lag proves nothing about that, and neither does an open
//! watch: its connection may have fallen silent. Only an answer with current state does.
//! Whoever gets one tells its peers what it knew then, and a peer that knows as much has had
//! the current state at that time, too.

mod confirmations;
mod known_state;
mod report;
mod settings;

pub use {
    confirmations::Confirmations,
    known_state::{FollowedKind, KnownState},
    report::ConfirmationReport,
    settings::{ConfirmationBound, ConfirmationSettings, as_of_ms},
};
