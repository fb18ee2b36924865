//! A stand-in of a plain service: it books, and counts what it ran.

mod stand_in;

pub use stand_in::{ServiceFaults, ServiceStandIn};
