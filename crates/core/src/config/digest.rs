use serde::{Deserialize, Serialize};

/// Digest of all records that an instance stores; its size is constant.
///
/// Instances compare digests in each exchange. While no record changes, an
/// exchange costs the same few bytes however many records there are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Revision up to which every record is stored.
    pub revision: u64,
    /// Hash over kind, name and versions of every record that is not withdrawn.
    pub hash: u64,
}
