use {super::rendezvous, std::net::SocketAddr};

/// One start of an engine. An engine may start again under its old name, and
/// then holds nothing of what it held before.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation {
    /// Name that the engine gave itself.
    pub id: String,
    /// Time of its start, in milliseconds of its own wall clock.
    pub born_ms: u64,
}

impl Incarnation {
    /// Returns a short hash of this start, for peers.
    pub fn short_hash(&self) -> u32 {
        rendezvous(self.born_ms, &self.id) as u32
    }
}

/// A model that an engine serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelVersion {
    /// The model's name.
    pub model: String,
    /// Version of the weights.
    pub version: u64,
}

/// What an engine writes of itself in the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineEntry {
    /// This start of the engine.
    pub incarnation: Incarnation,
    /// Revision of the store at which this was written.
    pub revision: u64,
    /// Service whose requests it runs.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain in which it stands.
    pub domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Models and versions that it serves.
    pub models: Vec<ModelVersion>,
    /// How much longer it is slow after its start.
    pub cold_left_ms: u64,
}
