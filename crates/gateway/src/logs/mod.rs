//! Structured log lines on standard output, limited in rate and queued, so that
//! logging never blocks.

mod line;
mod sink;

pub use sink::{LIFECYCLE, LogSettings, install};
