//! Roll-outs of services' software: reads the operators' orders, tells peers what was
//! seen, and decides where this instance is a decider. The decisions themselves are in
//! [`mangowalk_core::canary`].

mod controller;
mod results;
mod roles;

pub use controller::run_rollouts;
pub(crate) use results::{record_loss, record_result};
