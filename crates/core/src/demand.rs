//! Requested tokens per second, as an exponentially decaying average.

/// Time constant of the average.
///
/// Short enough that a team's rate follows its callers to other instances
/// within a second or two. Long compared with the interval at which instances
/// exchange demand, so that one large prompt changes the average little.
const AVERAGING_MS: f64 = 2_000.0;

/// Tokens per second that callers requested from an instance.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Demand {
    per_s: f64,
    updated_ms: u64,
}

impl Demand {
    /// Adds requested tokens, whether or not they were granted.
    pub fn add(&mut self, tokens: f64, now_ms: u64) {
        self.per_s = self.at(now_ms) + tokens * 1_000.0 / AVERAGING_MS;
        self.updated_ms = now_ms;
    }

    /// Returns the demand at `now_ms`, in tokens per second.
    pub fn at(&self, now_ms: u64) -> f64 {
        let passed = now_ms.saturating_sub(self.updated_ms) as f64;
        self.per_s * (-passed / AVERAGING_MS).exp()
    }
}
