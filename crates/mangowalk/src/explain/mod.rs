//! The command that asks an instance what it would do with a request.

mod command;

pub(crate) use command::{Explain, explain};
