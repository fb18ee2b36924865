//! A stand-in for a service that accepts bookings and counts how often each
//! ran.

mod stand_in;

pub use stand_in::{ServiceFaults, ServiceStandIn};
