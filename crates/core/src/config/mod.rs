//! The configuration that one instance has in force.
//!
//! Load pattern: 670 changes a day over a few thousand records, read by
//! every request. Entries are merged by version alone, whatever brought
//! them, so a lagging list, an old peer or a replayed watch can't bring an
//! older record back.

mod entry;
mod store;
mod view;

pub use {
    entry::{Entry, EntryState},
    store::{MergeOutcome, Store},
    view::{EngineRecord, ServiceRecord, View},
};
