//! Rate and burst over several instances, as state machines under faults.

mod leases;
mod model;
mod property;
mod refusals;
