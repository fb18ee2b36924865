//! The `story` command: reconstructs what happened to one request from the logs
//! of several instances.

mod cause;
mod command;
mod line;
mod timeline;

pub(crate) use command::{Story, story};
