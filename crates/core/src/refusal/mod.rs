//! Refusals: errors returned to callers whose requests are not answered.

mod kind;
mod outcome;

pub use {kind::Refusal, outcome::Outcome};
