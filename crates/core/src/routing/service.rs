use std::net::SocketAddr;

/// What an engine of a service holds at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineLimits {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens of prompts, answers and cached parts in memory.
    pub memory_tokens: u64,
}

/// A store of cached prompt parts that outlives an engine's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvCacheStore {
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain in which it stands.
    pub domain: String,
}

/// One service of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Connections that one engine accepts from all instances together.
    pub max_connections: u32,
    /// Set for model engines.
    pub engine: Option<EngineLimits>,
    /// Set where the service is a store of cached parts; it runs no request.
    pub kv_cache_store: Option<KvCacheStore>,
}
