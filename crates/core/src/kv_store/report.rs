use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What an instance that follows a KV cache store reports of it to peers.
///
/// A lost report costs little: a missing entry makes an engine save a part again,
/// and a false one makes a fetch find nothing, which takes about a millisecond.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvStoreReport {
    /// Address on which the store listens.
    pub store: SocketAddr,
    /// Epoch of the store; it changes at each start, after which the store is empty.
    pub epoch: u64,
    /// Whether the store answers.
    pub is_up: bool,
    /// Number of parts that the store holds after the changes.
    pub held_count: u32,
    /// Changes in the order in which they happened: the key of a part, and whether it
    /// was stored; otherwise it was removed.
    pub changes: Vec<(u64, bool)>,
}
