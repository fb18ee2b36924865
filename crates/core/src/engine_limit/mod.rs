//! Engines that name a limit on the requests a second of all instances together.

mod engine_limits;

pub use engine_limits::{EngineLimits, LimitChange};
