use std::net::SocketAddr;

/// Capacity of each engine of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineLimits {
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Capacity of the engine's memory for prompts, answers and cached parts, in
    /// tokens.
    pub memory_tokens: u64,
}

/// A store for cached parts of prompts, which outlives the engines' memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheStore {
    /// Address on which the store listens.
    pub address: SocketAddr,
    /// Failure domain of the store.
    pub domain: String,
}

/// One service of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Unique name of the service.
    pub name: String,
    /// Maximum number of connections that one engine accepts from all instances
    /// together.
    pub max_connections: u32,
    /// Capacity of each engine; `None` for services that are no model engines.
    pub engine: Option<EngineLimits>,
    /// Set if the service is a KV cache store. Such a service runs no requests.
    pub cache_store: Option<CacheStore>,
}
