use super::RepeatPolicy;

/// A service that gets part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service's name.
    pub service: String,
    /// Its part, against the sum over the route's services.
    pub weight: u32,
}

/// One route of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Unique name.
    pub name: String,
    /// Host that the caller names.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Services that run the requests; never empty.
    pub services: Vec<WeightedService>,
    /// What may be repeated.
    pub repeat: RepeatPolicy,
    /// Longest time that a request is kept waiting.
    pub timeout_ms: u64,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub target_ms: u64,
    /// Longest pause between two events of a stream that is on time.
    pub target_gap_ms: u64,
    /// Engines to which one request may be sent.
    pub max_attempts: u32,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Whether no key is needed.
    pub anonymous: bool,
}

impl Route {
    /// Returns the service for a number drawn by the caller.
    pub fn service(&self, random: u32) -> &str {
        let sum: u32 = self.services.iter().map(|share| share.weight).sum();
        let mut remaining_weight = random % sum.max(1);
        for share in &self.services {
            if remaining_weight < share.weight {
                return &share.service;
            }
            remaining_weight -= share.weight;
        }
        self.services
            .first()
            .map_or("", |share| share.service.as_str())
    }
}
