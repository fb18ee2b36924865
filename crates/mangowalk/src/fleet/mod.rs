//! The instances: their addresses, their status, and waiting until a write is
//! in force on all of them.

mod call;
mod command;
mod instance;
mod survey;
mod tables;
mod wait;

/// Path of an instance's status at its operator address.
const STATUS_PATH: &str = "/status";

pub(crate) use {
    call::call,
    command::{Fleet, fleet},
    instance::{Instance, instances},
    survey::Survey,
    wait::{Wait, wait},
};
