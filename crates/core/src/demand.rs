//! Tokens a second that are asked for, averaged over a short time.

/// Time over which demand is averaged.
///
/// Short, so that a team whose callers move to other instances finds its rate
/// there within a second or two; long against the period of exchange, so that
/// one large prompt does not swing it.
const AVERAGING_MS: f64 = 2_000.0;

/// Tokens a second that an instance was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Demand {
    per_s: f64,
    updated_ms: u64,
}

impl Demand {
    /// Counts tokens that were asked for, granted or not.
    pub fn add(&mut self, tokens: f64, now_ms: u64) {
        self.per_s = self.at(now_ms) + tokens * 1_000.0 / AVERAGING_MS;
        self.updated_ms = now_ms;
    }

    /// Returns the demand at a time.
    pub fn at(&self, now_ms: u64) -> f64 {
        let passed = now_ms.saturating_sub(self.updated_ms) as f64;
        self.per_s * (-passed / AVERAGING_MS).exp()
    }
}
