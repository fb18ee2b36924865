use {
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

/// An object as stored by the platform.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Identity of the object.
    #[serde(flatten)]
    pub key: ObjectKey,
    /// Revision of the last write of this object.
    pub version: u64,
    /// Content, as stored by the writer.
    pub body: Value,
}

/// Identity of an object.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ObjectKey {
    /// Kind of the object, a path segment.
    pub kind: String,
    /// Name of the object within its kind, a path segment.
    pub name: String,
}

impl ObjectKey {
    /// Returns the identity for a kind and a name.
    pub fn new(kind: &str, name: &str) -> ObjectKey {
        ObjectKey {
            kind: kind.to_owned(),
            name: name.to_owned(),
        }
    }
}

/// Precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// Write unconditionally.
    Any,
    /// Write only if the object does not exist.
    Absent,
    /// Write only if the object has this version.
    Version(u64),
}
