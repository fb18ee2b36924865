//! Brings new weights to all engines.

mod orderer;
mod orders;
mod progress;
mod right;

pub use orderer::order_weights;
