//! One answer, put together from the events of its attempts.

mod sequencer;

pub use sequencer::{Fault, Sequencer, Step};
