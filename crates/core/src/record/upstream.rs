use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A serving engine or a plain service. Its name is the record's name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Schema number of the record.
    pub schema: u32,
    /// IP address and port of the upstream.
    pub address: SocketAddr,
    /// Failure domain in which the upstream runs.
    pub failure_domain: String,
    /// What the upstream serves.
    pub role: UpstreamRole,
    /// Whether the upstream is departing; it then gets no new work.
    #[serde(default)]
    pub departing: bool,
}

/// What an upstream serves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum UpstreamRole {
    /// A model engine.
    Engine {
        /// Name of the model that the engine serves.
        model: String,
        /// Whether the engine rejects orders with an outdated fencing number.
        #[serde(default)]
        checks_fencing: bool,
    },
    /// A plain service.
    Service {
        /// Name by which callers address the service.
        service: String,
        /// Whether calls may be repeated. Otherwise a call runs at most once and
        /// needs an `Idempotency-Key`.
        #[serde(default)]
        repeatable: bool,
    },
}
