//! Brings new weights to all engines.

mod orderer;
mod orders;

pub use orderer::order_weights;
