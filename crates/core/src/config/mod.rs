//! The configuration that one instance has in force.
//!
//! The expected load is 670 changes a day over a few thousand records, which
//! every request reads. Entries are merged by version alone, whatever their
//! source, so a lagging list, an outdated peer or a replayed watch cannot
//! restore an older record.

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
