//! Retry budget per service, shared by all instances.

mod budget;

pub use budget::{RetryBudget, RetrySettings};
