//! Commands, flags and environment variables.

mod command;
mod common;
mod completion;
mod run;

pub(crate) use common::{Common, common, kind};
pub use run::run;
