//! Bounds on the retries to a service by all instances together. Each instance
//! applies its part and counts only its own requests and retries.

mod budget;

pub use budget::{FleetRetryBudget, RetryReport, RetrySettings};
