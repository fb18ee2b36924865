//! Engines that fall over when they have to reject too many requests.

mod brittle_engines;
mod settings;

pub use {brittle_engines::BrittleEngines, settings::BrittleSettings};
