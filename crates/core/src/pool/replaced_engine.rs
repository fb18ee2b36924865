use {
    super::{EngineEntry, Incarnation},
    serde::{Deserialize, Serialize},
};

/// What an instance tells its peers of a start of an engine at whose address another engine
/// listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplacedEngine {
    /// ID of the engine that is gone.
    pub engine: String,
    /// When it started, in milliseconds of its clock.
    pub born_ms: u64,
    /// Revision of the entry that named the address. An entry written later supersedes the
    /// report.
    pub revision: u64,
}

impl ReplacedEngine {
    /// Returns the report that another engine listens at the address of an entry.
    pub fn of(entry: &EngineEntry) -> ReplacedEngine {
        ReplacedEngine {
            engine: entry.incarnation.id.clone(),
            born_ms: entry.incarnation.born_ms,
            revision: entry.revision,
        }
    }

    /// Returns the start of the engine that the report is about.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.engine.clone(),
            born_ms: self.born_ms,
        }
    }
}
