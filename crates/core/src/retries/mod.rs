//! How often requests may be sent once more, over all instances.

mod budget;

pub use budget::{RetryBudget, RetrySettings};
