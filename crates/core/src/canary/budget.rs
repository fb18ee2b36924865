/// Share of an instance's own requests that may go to a new software version.
///
/// Each instance keeps to the share by its own requests, so the share holds over all
/// instances without communication, across restarts and partitions. A random
/// start makes up for rounding: otherwise an instance with few requests would never
/// send one, or all would send one at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureBudget {
    credit_requests: f64,
}

/// Maximum credit. A pause of the trial doesn't end in a burst.
const MAX_CREDIT_REQUESTS: f64 = 2.0;

impl ExposureBudget {
    /// Returns a budget with a random start; `draw` is from 0 to 1.
    pub fn new(draw: f64) -> ExposureBudget {
        ExposureBudget {
            credit_requests: draw.clamp(0.0, 0.999),
        }
    }

    /// Returns whether one request may be sent to the new version.
    pub fn has_credit(&self) -> bool {
        self.credit_requests >= 1.0
    }

    /// Records a request of the service, of which the share `ratio` may be tried.
    pub fn record_request(&mut self, ratio: f64) {
        self.credit_requests = (self.credit_requests + ratio).min(MAX_CREDIT_REQUESTS);
    }

    /// Records that a request was sent to the new version.
    pub fn record_trial(&mut self) {
        self.credit_requests -= 1.0;
    }
}
