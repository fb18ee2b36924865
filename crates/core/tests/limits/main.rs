//! Rate and burst over several instances, modelled as state machines under
//! faults.

mod leases;
mod list_schedule;
mod model;
mod property;
mod refusals;
