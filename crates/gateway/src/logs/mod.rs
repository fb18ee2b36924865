//! Structured lines on standard output, bounded and never waited for.

mod sink;

pub use sink::{LIFECYCLE, LogSettings, install};
