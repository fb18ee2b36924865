use serde::{Deserialize, Serialize};

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block with this chained digest was stored.
    Stored(u64),
    /// The block with this chained digest was evicted.
    Evicted(u64),
    /// All blocks were dropped.
    Cleared,
}

/// Changes of an engine's cache, `GET /events?from=SEQUENCE`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Incarnation of the engine that the events belong to.
    pub incarnation: u64,
    /// Sequence number of the first entry of `changes`.
    pub first_sequence: u64,
    /// Changes in order of their sequence numbers.
    pub changes: Vec<CacheChange>,
}
