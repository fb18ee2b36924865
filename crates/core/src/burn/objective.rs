use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Service-level objectives of each team.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// The first token arrives within the team's `first_token_ms`.
    #[display("first_token")]
    FirstToken,
    /// A request that was sent to an upstream is answered completely.
    #[display("complete")]
    Complete,
    /// A request within the team's rate is not refused.
    #[display("admitted")]
    Admitted,
}

impl Objective {
    /// All objectives, in the order of the report.
    pub const ALL: [Objective; 3] = [
        Objective::FirstToken,
        Objective::Complete,
        Objective::Admitted,
    ];

    /// Returns the error budget: how many requests in a million may miss the
    /// objective.
    ///
    /// One first token in a hundred may be late, since an engine that computes a
    /// prefix after a cache miss is slow, but not faulty. Truncated answers and
    /// unjustified refusals make callers leave, so only one in a thousand is
    /// allowed.
    pub fn budget_ppm(self) -> u64 {
        match self {
            Objective::FirstToken => 10_000,
            Objective::Complete | Objective::Admitted => 1_000,
        }
    }

    /// Returns the burn rate: 1.0 uses up the budget exactly, 10.0 ten times as
    /// fast, and 0.0 stands for no requests.
    pub fn burn(self, good: u64, bad: u64) -> f64 {
        let all = good + bad;
        if all == 0 {
            return 0.0;
        }
        let bad_ppm = bad as f64 * 1e6 / all as f64;
        bad_ppm / self.budget_ppm() as f64
    }
}
