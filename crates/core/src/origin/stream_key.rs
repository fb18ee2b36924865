use {
    crate::pool::rendezvous,
    serde::{Deserialize, Serialize},
};

/// Identifies a stream by the team that requested it and the request that brought its
/// first event.
///
/// The team is a part of it, so that no caller binds its stream by another team's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamKey([u8; 16]);

impl StreamKey {
    /// Returns the key of a team's request; `team` is empty for anonymous ones.
    pub fn new(team: &str, request_id: &str) -> StreamKey {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(team.len() as u64).to_le_bytes());
        hasher.update(team.as_bytes());
        hasher.update(request_id.as_bytes());
        let mut key = [0; 16];
        key.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        StreamKey(key)
    }

    /// Returns the rank of an instance among those that may keep the stream's record;
    /// the highest ones keep it.
    pub(super) fn rank(&self, instance: &str) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.0[..8]);
        rendezvous(u64::from_le_bytes(first), instance)
    }
}
