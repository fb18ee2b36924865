use {
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

/// An object as the platform holds it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Kind and name.
    #[serde(flatten)]
    pub key: ObjectKey,
    /// Revision of the last write of this object.
    pub version: u64,
    /// What the writer stored.
    pub body: Value,
}

/// The identity of an object.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ObjectKey {
    /// Kind of the object, a path segment.
    pub kind: String,
    /// Name of the object within its kind, a path segment.
    pub name: String,
}

impl ObjectKey {
    /// Returns the identity made of the two path segments.
    pub fn new(kind: &str, name: &str) -> ObjectKey {
        ObjectKey {
            kind: kind.to_owned(),
            name: name.to_owned(),
        }
    }
}

/// The condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// Write whatever is there.
    Any,
    /// Write only if no object of that name is there.
    Absent,
    /// Write only if the object has this version.
    Version(u64),
}
