//! Failures of commands, with their messages and exit codes.

mod kind;

pub(crate) use kind::Failure;
