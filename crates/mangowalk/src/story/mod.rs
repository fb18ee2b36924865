//! The story of one request, read back from the logs of several instances.

mod cause;
mod command;
mod line;
mod timeline;

pub(crate) use command::{Story, story};
