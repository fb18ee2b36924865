use {
    super::{End, Histogram, Objective, Observation},
    serde::{Deserialize, Serialize},
};

/// What became of one team's requests in some time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Answered completely.
    pub complete: u64,
    /// Cut off after they were sent to an upstream.
    pub cut: u64,
    /// Left by their callers.
    pub abandoned: u64,
    /// Refused because the caller has to change them.
    pub rejected: u64,
    /// Refused because the team's rate was used up.
    pub over_rate: u64,
    /// Refused although the team's rate would have allowed them.
    pub turned_away: u64,
    /// First tokens within the team's objective.
    pub first_in_time: u64,
    /// First tokens later than the team's objective.
    pub first_late: u64,
    /// Tokens of the requests that were served.
    pub served_tokens: u64,
    /// Tokens of the requests that were over the rate.
    pub over_rate_tokens: u64,
    /// Times to the first token.
    pub first_token: Histogram,
}

impl Counts {
    /// Counts one request. `objective_ms` is the team's objective for the time
    /// to the first token.
    pub fn record(&mut self, observation: &Observation, objective_ms: u64) {
        match observation.end {
            End::Complete => self.complete += 1,
            End::Cut => self.cut += 1,
            End::Abandoned => self.abandoned += 1,
            End::Rejected => self.rejected += 1,
            End::OverRate => self.over_rate += 1,
            End::TurnedAway => self.turned_away += 1,
        }
        match observation.end {
            End::OverRate => self.over_rate_tokens += observation.tokens,
            End::Rejected | End::TurnedAway => {}
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

    /// Returns how many requests met an objective and how many missed it.
    ///
    /// Refusals for the rate count against the team itself, and so in neither
    /// number; [`BurnReport`](super::BurnReport) adds those that the fleet as a
    /// whole should not have made.
    pub fn good_and_bad(&self, objective: Objective) -> (u64, u64) {
        match objective {
            Objective::FirstToken => (self.first_in_time, self.first_late),
            Objective::Complete => (self.complete, self.cut),
            Objective::Admitted => (self.complete + self.cut + self.abandoned, self.turned_away),
        }
    }

    /// Returns the tokens that the team asked for.
    pub fn asked_tokens(&self) -> u64 {
        self.served_tokens + self.over_rate_tokens
    }

    /// Returns whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        *self == Counts::default()
    }
}
