//! Wire types of the platform's object API.
//!
//! One number, the revision, grows with each write of any object; an
//! object's version is the revision of its last write. A deleted object
//! keeps its version as a tombstone.

mod object;
mod watch;

pub use {
    object::{Expect, Object, ObjectKey},
    watch::{Change, ListReply, WatchReply},
};

/// Kinds of object that the system itself writes.
pub mod own_kind {
    /// A share of every rate, held by one instance at a time.
    pub const SLOT: &str = "slot";
    /// A claim to run one request that is not repeatable.
    pub const CLAIM: &str = "claim";
    /// The epoch by which claims are kept.
    pub const CLAIM_EPOCH: &str = "claim_epoch";
    /// A lease of one controller.
    pub const LEASE: &str = "lease";
    /// The platform's lagging list of live and departing instances.
    pub const INSTANCE: &str = "instance";
    /// A mark that an engine gets no new work.
    pub const DRAIN: &str = "drain";
    /// How far a change of a model's version has come.
    pub const ROLLOUT: &str = "rollout";
    /// Status of a record: accepted, or why not.
    pub const STATUS: &str = "status";
}
