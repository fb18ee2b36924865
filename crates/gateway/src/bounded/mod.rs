//! Bounds on the bytes that are read for an answer, and counts of those that are held.

mod caller_stream;
mod caller_writes;
mod counted_body;
mod cut_reason;
mod held_bytes;
mod hold;
mod metered_body;
mod metered_stream;
mod read_meter;
mod send_queue;

pub use {
    caller_stream::{CallerStream, StallLimits},
    caller_writes::CallerWrites,
    counted_body::CountedBody,
    cut_reason::CutReason,
    held_bytes::{HeldBytes, HeldKind},
    hold::Hold,
    metered_body::MeteredBody,
    metered_stream::MeteredStream,
    read_meter::{MAX_READ_BUFFER_BYTES, ReadMeter},
};
