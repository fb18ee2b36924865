//! Brings new weights to all engines.

mod orderer;
mod orders;
mod progress;
mod right;

pub use orderer::run_weights_updater;
