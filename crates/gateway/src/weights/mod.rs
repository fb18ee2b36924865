//! Updates all engines to newly published weights.

mod engine_calls;
mod lease;
mod progress;
mod updater;

pub use updater::run_weights_updater;
