//! Brings new weights to all engines.

mod engine_calls;
mod lease;
mod progress;
mod updater;

pub use updater::run_weights_updater;
