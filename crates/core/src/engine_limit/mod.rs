//! Engines that name a limit on the requests a second of all instances together.

mod allowance;
mod engine_limits;
mod report;
mod settings;

pub use {
    allowance::Position,
    engine_limits::{EngineLimits, LimitChange},
    report::EngineLimitReport,
    settings::EngineLimitSettings,
};
