use {
    super::{Object, ObjectKey},
    serde::{Deserialize, Serialize},
};

/// A write as a watch reports it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The object was written.
    Put(Object),
    /// The object was deleted at this version.
    Delete {
        /// Kind and name.
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
    /// Live objects.
    pub objects: Vec<Object>,
}

/// The answer to a watch.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WatchReply {
    /// Revision up to which `changes` is complete.
    pub revision: u64,
    /// Writes after the revision asked for, in order.
    pub changes: Vec<Change>,
    /// Whether the platform no longer holds the writes asked for, so that
    /// the watcher must list again.
    #[serde(default)]
    pub compacted: bool,
}
