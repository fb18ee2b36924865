//! The `explain` command: asks an instance what it would do with a request.

mod command;

pub(crate) use command::{Explain, explain};
