//! Load and failure control per upstream, derived from its answers.
//!
//! Each instance uses only its own attempts and needs no load reports, so this
//! works while reports lag and while the platform is down.
//!
//! | component | load pattern | without it |
//! | --- | --- | --- |
//! | [`ConcurrencyLimit`] | one engine becomes slow | its queue grows until every request in it times out |
//! | [`Breaker`] | an engine is down or fails every request | each request spends a failed attempt first |
//! | [`StallDetector`] | an engine stalls for some seconds | requests sent to it wait for the full timeout |
//! | [`InstanceRetryBudget`] | many engines fail at once | retries multiply the load that caused the failures |

mod breaker;
mod breaker_settings;
mod health;
mod limit;
mod limit_settings;
mod retry_budget;
mod stall_detector;

pub use {
    breaker::Breaker, breaker_settings::BreakerSettings, health::Health, limit::ConcurrencyLimit,
    limit_settings::LimitSettings, retry_budget::InstanceRetryBudget,
    stall_detector::StallDetector,
};
