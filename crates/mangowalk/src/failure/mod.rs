//! Why a command failed, and the exit code that follows.

mod kind;

pub(crate) use kind::Failure;
