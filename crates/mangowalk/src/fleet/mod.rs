//! Every instance: where it is, and what it says of itself.

mod call;
mod command;
mod instance;
mod survey;
mod tables;
mod wait;

pub(crate) use {
    call::call,
    command::{Fleet, fleet},
    instance::{Instance, instances},
    survey::Survey,
    wait::{Wait, wait},
};
