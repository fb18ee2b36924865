//! The life of one attempt to have an engine answer a request.
//!
//! An attempt is planned, sent, streaming and ended, in this order, and each
//! phase is a type of its own. So the questions that depend on the phase (how
//! long to wait, whether anything ran) can't be asked in the wrong one.

mod ended;
mod phases;
mod timeouts;

pub use {
    ended::{End, EndedAttempt},
    phases::{Attempt, Planned, Sent, Streaming},
    timeouts::Timeouts,
};
