//! Refusals: what a caller is told when its request is not answered.

mod kind;
mod outcome;

pub use {kind::Refusal, outcome::Outcome};
