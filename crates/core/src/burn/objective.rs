use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// What each team is promised.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// The first token comes within the team's `first_token_ms`.
    #[display("first_token")]
    FirstToken,
    /// An answer that was begun is completed.
    #[display("complete")]
    Complete,
    /// A request within the team's rate is not refused.
    #[display("admitted")]
    Admitted,
}

impl Objective {
    /// Every objective, in the order of the report.
    pub const ALL: [Objective; 3] = [
        Objective::FirstToken,
        Objective::Complete,
        Objective::Admitted,
    ];

    /// Returns the error budget: the requests out of a million that may miss
    /// the objective.
    ///
    /// One first token in a hundred may be late, since an engine that reads a
    /// missed prefix is slow and not broken. An answer cut short or a wrongful
    /// refusal makes a caller leave, so only one in a thousand may be.
    pub fn budget_ppm(self) -> u64 {
        match self {
            Objective::FirstToken => 10_000,
            Objective::Complete | Objective::Admitted => 1_000,
        }
    }

    /// Returns the burn: 1.0 uses the budget up exactly, 10.0 ten times as
    /// fast. No request, no burn.
    pub fn burn(self, good: u64, bad: u64) -> f64 {
        let all = good + bad;
        if all == 0 {
            return 0.0;
        }
        let bad_ppm = bad as f64 * 1e6 / all as f64;
        bad_ppm / self.budget_ppm() as f64
    }
}
