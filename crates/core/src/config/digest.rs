use serde::{Deserialize, Serialize};

/// What an instance holds, in a constant size.
///
/// Two instances compare digests in each exchange. A fleet at rest then
/// spends the same few bytes however many records there are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Revision up to which every record is held.
    pub revision: u64,
    /// Hash over kind, name and versions of every record that is not
    /// withdrawn.
    pub hash: u64,
}
