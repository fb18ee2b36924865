//! Wire types of the platform's object API.
//!
//! The revision is a single number that increases with each write of any
//! object. An object's version is the revision of its last write. A deleted
//! object keeps its version in a tombstone.

mod decoding;
mod object;
mod watch;

pub use {
    object::{Object, ObjectKey, Precondition},
    watch::{Change, ListReply, WatchReply},
};

/// Kinds of objects that the system itself writes.
pub mod system_kind {
    /// A share of every team's rate, held by one instance at a time.
    pub const SLOT: &str = "slot";
    /// The claim of an instance to run one request that is not repeatable.
    pub const CLAIM: &str = "claim";
    /// The epoch counter by which the age of claims is measured.
    pub const CLAIM_EPOCH: &str = "claim_epoch";
    /// The lease of one controller.
    pub const LEASE: &str = "lease";
    /// An entry of the platform's lagging list of live and departing instances.
    pub const INSTANCE: &str = "instance";
    /// Marks an engine that gets no new work.
    pub const DRAIN: &str = "drain";
    /// Progress of a change of a model's weights version.
    pub const ROLLOUT: &str = "rollout";
    /// Status of a record: accepted, or the reason for its refusal.
    pub const STATUS: &str = "status";
}
