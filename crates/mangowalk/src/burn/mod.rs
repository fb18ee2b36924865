//! The report on service-level burn.

mod command;
mod table;

pub(crate) use command::{Burn, burn};
