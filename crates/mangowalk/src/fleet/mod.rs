//! Every instance: where it is, and what it says of itself.

mod call;
mod command;
mod instance;
mod survey;
mod tables;
mod wait;

/// Path of an instance's status on its operator edge.
const STATUS_PATH: &str = "/status";

pub(crate) use {
    call::call,
    command::{Fleet, fleet},
    instance::{Instance, instances},
    survey::Survey,
    wait::{Wait, wait},
};
