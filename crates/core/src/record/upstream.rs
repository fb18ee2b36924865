use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A serving engine or a plain service, named by its record's name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Schema number of the record.
    pub schema: u32,
    /// Address, as IP number and port.
    pub address: SocketAddr,
    /// Failure domain in which the upstream runs.
    pub failure_domain: String,
    /// What the upstream serves.
    pub role: UpstreamRole,
    /// Whether the upstream is to leave: it gets no new work.
    #[serde(default)]
    pub departing: bool,
}

/// What an upstream serves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum UpstreamRole {
    /// A model engine.
    Engine {
        /// Name of the model that it serves.
        model: String,
        /// Whether the engine refuses orders with an old fencing number.
        #[serde(default)]
        checks_fencing: bool,
    },
    /// A plain service.
    Service {
        /// Name under which callers reach the service.
        service: String,
        /// Whether its calls may be repeated. A call that may not runs at
        /// most once and needs an `Idempotency-Key`.
        #[serde(default)]
        repeatable: bool,
    },
}
