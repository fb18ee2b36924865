use {
    super::Heartbeat,
    crate::kv_store::KvStoreReport,
    serde::{Deserialize, Serialize},
};

/// Content of one datagram between instances.
///
/// Instances of an earlier build know the first three variants only and ignore a
/// datagram that they can't decode.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A heartbeat from its author to this receiver only.
    Direct(Box<Heartbeat>),
    /// A heartbeat from its author to a receiver that relays it within its failure
    /// domain.
    ToRelay(Box<Heartbeat>),
    /// A heartbeat that another instance of the receiver's failure domain relays.
    Relayed(Box<Heartbeat>),
    /// A report on a KV cache store.
    KvStore(KvStoreReport),
}
