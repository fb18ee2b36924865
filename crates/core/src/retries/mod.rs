//! Bounds on the retries to a service by all instances together. Each instance has a part
//! of its own, which it keeps to by counting only its own requests and retries: so the
//! bounds hold though instances are cut off from each other or have just started. What an
//! instance doesn't use it lends to others, which it counts as its own retries.

mod budget;
mod loan;
mod settings;
mod share;
mod sliding_sum;

pub use {
    budget::{FleetRetryBudget, RetryReport},
    loan::{LoanGrant, LoanMessage, LoanRequest},
    settings::RetrySettings,
    share::{BudgetShare, SlackSharers},
};
