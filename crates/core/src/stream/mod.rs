//! Assembly of one answer from the events of its attempts.

mod event_bounds;
mod event_scanner;
mod event_splitter;
mod sequencer;
mod stream_end;

pub use {
    event_bounds::{EventBounds, Excess},
    event_scanner::EventScanner,
    event_splitter::EventSplitter,
    sequencer::{Fault, Sequencer, Step},
    stream_end::StreamEnd,
};
