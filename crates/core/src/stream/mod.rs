//! Assembly of one answer from the events of its attempts.

mod end_witness;
mod event_bounds;
mod event_scanner;
mod event_splitter;
mod sequencer;
mod stream_end;

pub use {
    end_witness::{EndFinding, EndWitness, EndWitnessSettings},
    event_bounds::{EventBounds, Excess},
    event_scanner::EventScanner,
    event_splitter::EventSplitter,
    sequencer::{Fault, Sequencer, Step},
    stream_end::StreamEnd,
};
