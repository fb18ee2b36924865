//! The configuration that one instance has in force.
//!
//! Load pattern: 670 changes a day over a few thousand records, read by
//! every request. Entries are merged by version alone, whatever brought
//! them, so a lagging list, an old peer or a replayed watch can't bring an
//! older record back.

mod delta;
mod digest;
mod entry;
mod freshness;
mod store;
mod view;
mod write;

pub use {
    delta::Delta,
    digest::Digest,
    entry::{Entry, EntryState},
    freshness::Freshness,
    store::{MergeOutcome, Store},
    view::{EngineRecord, ServiceRecord, View},
    write::Write,
};
