//! Command line of the program: flags, environment variables and their checks.

mod args;
mod machine;
mod run;
mod settings;
mod usage;

pub use {
    args::{Args, args},
    run::run,
    settings::{Settings, SettingsError},
    usage::print_usage,
};
