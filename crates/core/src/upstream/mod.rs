//! What one upstream can take, judged from what it answers.
//!
//! Each router judges alone, from its own attempts: no load report is needed,
//! so the judgement works while reports lag and the platform is down.
//!
//! | part | load pattern | without it |
//! | --- | --- | --- |
//! | [`ConcurrencyLimit`] | one engine turns slow | its queue grows until every request behind it times out |
//! | [`Breaker`] | an engine is dead or fails all it gets | each request pays a failed attempt first |
//! | [`StallDetector`] | an engine stalls for some seconds | requests sent to it wait for the whole timeout |
//! | [`RetryBudget`] | many engines fail at once | retries multiply the load that made them fail |

mod breaker;
mod breaker_settings;
mod health;
mod limit;
mod limit_settings;
mod retry_budget;
mod stall_detector;

pub use {
    breaker::Breaker, breaker_settings::BreakerSettings, health::Health, limit::ConcurrencyLimit,
    limit_settings::LimitSettings, retry_budget::RetryBudget, stall_detector::StallDetector,
};
