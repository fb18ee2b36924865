//! Assembly of one answer from the events of its attempts.

mod event_splitter;
mod sequencer;

pub use {
    event_splitter::EventSplitter,
    sequencer::{Fault, Sequencer, Step},
};
