use super::RetryPolicy;

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight of the service, relative to the sum over the route's services.
    pub weight: u32,
}

/// One route of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Unique name of the route.
    pub name: String,
    /// Host name of the request.
    pub host: String,
    /// Prefix of the path; starts and ends with a slash.
    pub path_prefix: String,
    /// Services that handle the requests; never empty.
    pub services: Vec<WeightedService>,
    /// Whether requests may be sent again.
    pub retry: RetryPolicy,
    /// Maximum time from a request's arrival to its deadline, in milliseconds.
    /// The caller may ask for an earlier deadline.
    pub timeout_ms: u64,
    /// Target for the time to the answer or to the first event of a stream, in
    /// milliseconds.
    pub target_ms: u64,
    /// Target for the time between two events of a stream, in milliseconds.
    pub target_gap_ms: u64,
    /// Maximum number of engines to which one request is sent.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no key.
    pub anonymous: bool,
}

impl Route {
    /// Returns the name of a service, chosen by weight with the given random
    /// number.
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
