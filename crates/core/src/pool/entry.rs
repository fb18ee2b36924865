use {super::rendezvous, std::net::SocketAddr};

/// One run of an engine process. An engine may restart under the same name, and
/// its cache and memory are empty then.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation {
    /// Name that the engine chose for itself.
    pub id: String,
    /// Start time, in milliseconds of the wall clock of the engine.
    pub born_ms: u64,
}

impl Incarnation {
    /// Returns a short hash of the incarnation, which peers exchange.
    pub fn short_hash(&self) -> u32 {
        rendezvous(self.born_ms, &self.id) as u32
    }
}

/// A model that an engine serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelVersion {
    /// Name of the model.
    pub model: String,
    /// Version of the weights.
    pub version: u64,
}

/// Entry that an engine writes about itself in the engine list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineEntry {
    /// Incarnation that wrote the entry.
    pub incarnation: Incarnation,
    /// Revision of the store at which the entry was written.
    pub revision: u64,
    /// Service whose requests the engine runs.
    pub service: String,
    /// Version of the software that the engine runs.
    pub software: String,
    /// Address on which the engine accepts connections.
    pub address: SocketAddr,
    /// Failure domain of the engine.
    pub domain: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the engine is about to leave and takes no new work.
    pub draining: bool,
    /// Models and weights versions that the engine serves.
    pub models: Vec<ModelVersion>,
    /// Remaining time for which the engine is slow after its start.
    pub cold_left_ms: u64,
}
