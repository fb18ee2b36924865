//! Life cycle of one attempt to have an engine answer a request.
//!
//! An attempt is planned, sent, streaming and ended, in this order. Each phase
//! is a type of its own, so that methods whose result depends on the phase
//! (remaining wait, whether anything ran) exist only where they apply.

mod ended;
mod phases;
mod timeouts;

pub use {
    ended::{AttemptEnd, EndedAttempt},
    phases::{Attempt, Planned, Sent, Streaming},
    timeouts::Timeouts,
};
