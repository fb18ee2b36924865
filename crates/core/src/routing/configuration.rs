use super::{Route, Service, Tenant};

/// Bounds on the size and duration of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to receive a head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum idle time between two requests on a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Limits that apply before a configuration is known, while no request is
    /// served.
    fn default() -> CallerLimits {
        CallerLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One complete version of the configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Configuration {
    /// Version number; increases with each change.
    pub version: u64,
    /// Routes, matched by host and longest path prefix.
    pub routes: Vec<Route>,
    /// Services that routes refer to by name.
    pub services: Vec<Service>,
    /// Teams. If there are none, requests need no key.
    pub tenants: Vec<Tenant>,
    /// Bounds on callers' requests.
    pub limits: CallerLimits,
}
