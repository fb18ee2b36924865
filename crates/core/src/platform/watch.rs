use {
    super::{Object, ObjectKey},
    serde::{Deserialize, Serialize},
};

/// A write reported by a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The object was written.
    Put(Object),
    /// The object was deleted.
    Delete {
        /// Identity of the object.
        #[serde(flatten)]
        key: ObjectKey,
        /// Revision of the deletion.
        version: u64,
    },
}

/// The answer to a list of one or more kinds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ListReply {
    /// Revision at which the list was read.
    pub revision: u64,
    /// Objects that exist, without tombstones.
    pub objects: Vec<Object>,
}

/// The answer to a watch.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WatchReply {
    /// Revision up to which `changes` is complete.
    pub revision: u64,
    /// Writes after the requested revision, in order.
    pub changes: Vec<Change>,
    /// Whether the platform no longer holds all requested writes. The watcher
    /// must then list the objects again.
    #[serde(default)]
    pub compacted: bool,
}
