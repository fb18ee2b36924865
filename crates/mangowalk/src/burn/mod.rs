//! The `burn` command: reports on service-level burn over all instances.

mod command;
mod table;

pub(crate) use command::{Burn, burn};
