use super::{Route, Service, Tenant};

/// Bounds on what a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head of a request.
    pub max_header_bytes: usize,
    /// Longest body of a request.
    pub max_body_bytes: usize,
    /// Longest time for a head.
    pub header_timeout_ms: u64,
    /// Longest pause between two requests on a connection.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// What holds until a configuration is known; then nothing is served.
    fn default() -> CallerLimits {
        CallerLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One version of the configuration, whole.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Configuration {
    /// Grows with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// All teams; with none, requests carry no key.
    pub tenants: Vec<Tenant>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}
