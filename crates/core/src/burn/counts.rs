use {
    super::{Histogram, Objective, Observation, RequestEnd},
    serde::{Deserialize, Serialize},
};

/// Counts of one team's requests by result.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Answered completely.
    pub complete: u64,
    /// Cut off after they were sent to an upstream.
    pub cut: u64,
    /// Abandoned by their callers before the answer was complete.
    pub abandoned: u64,
    /// Refused because the caller has to change them.
    pub rejected: u64,
    /// Refused because the team's rate was used up.
    pub over_rate: u64,
    /// Refused for lack of capacity, within the team's rate.
    pub turned_away: u64,
    /// First tokens within the team's objective.
    pub first_in_time: u64,
    /// First tokens later than the team's objective.
    pub first_late: u64,
    /// Tokens of the requests in `complete`, `cut` and `abandoned`.
    pub served_tokens: u64,
    /// Tokens of the requests that were refused for the rate.
    pub over_rate_tokens: u64,
    /// Distribution of the times to the first token.
    pub first_token: Histogram,
}

impl Counts {
    /// Adds one request. `objective_ms` is the team's objective for the time to
    /// the first token.
    pub fn record(&mut self, observation: &Observation, objective_ms: u64) {
        match observation.end {
            RequestEnd::Complete => self.complete += 1,
            RequestEnd::Cut => self.cut += 1,
            RequestEnd::Abandoned => self.abandoned += 1,
            RequestEnd::Rejected => self.rejected += 1,
            RequestEnd::OverRate => self.over_rate += 1,
            RequestEnd::TurnedAway => self.turned_away += 1,
        }
        match observation.end {
            RequestEnd::OverRate => self.over_rate_tokens += observation.tokens,
            RequestEnd::Rejected | RequestEnd::TurnedAway => {}
            _ => self.served_tokens += observation.tokens,
        }
        if let Some(first_ms) = observation.first_token_ms {
            self.first_token.record(first_ms);
            let in_time = first_ms <= objective_ms;
            self.first_in_time += u64::from(in_time);
            self.first_late += u64::from(!in_time);
        }
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &Counts) {
        self.complete += other.complete;
        self.cut += other.cut;
        self.abandoned += other.abandoned;
        self.rejected += other.rejected;
        self.over_rate += other.over_rate;
        self.turned_away += other.turned_away;
        self.first_in_time += other.first_in_time;
        self.first_late += other.first_late;
        self.served_tokens += other.served_tokens;
        self.over_rate_tokens += other.over_rate_tokens;
        self.first_token.add(&other.first_token);
    }

    /// Returns the number of requests that met an objective and the number that
    /// missed it.
    ///
    /// Refusals for the rate are caused by the team itself and count in neither.
    /// [`BurnReport`](super::BurnReport) adds those that were made while the
    /// team was within its rate over the whole fleet.
    pub fn good_and_bad(&self, objective: Objective) -> (u64, u64) {
        match objective {
            Objective::FirstToken => (self.first_in_time, self.first_late),
            Objective::Complete => (self.complete, self.cut),
            Objective::Admitted => (self.complete + self.cut + self.abandoned, self.turned_away),
        }
    }

    /// Returns the number of tokens that the team requested, without those of
    /// the requests in `rejected` and `turned_away`.
    pub fn asked_tokens(&self) -> u64 {
        self.served_tokens + self.over_rate_tokens
    }

    /// Returns whether all counts are zero.
    pub fn is_empty(&self) -> bool {
        *self == Counts::default()
    }
}
