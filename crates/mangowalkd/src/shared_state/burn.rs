use {
    super::lock,
    mangowalk_core::burn::{Counts, Ledger, Observation, TeamBurn},
    std::{collections::BTreeMap, sync::Mutex},
};

/// First-token times held until the metrics are sent next. Further ones in
/// the same second are dropped: statsd timers are samples, and memory must
/// stay bounded.
const MAX_FIRST_TOKEN_SAMPLES: usize = 1_024;

/// Counts of the outcomes of every team's requests.
#[derive(Debug, Default)]
pub struct SharedOutcomeCounts {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    ledger: Ledger,
    unsent: Option<UnsentCounts>,
}

/// Counts since metrics were last sent.
#[derive(Debug, Default)]
pub struct UnsentCounts {
    /// Counts by team.
    pub counts: BTreeMap<String, Counts>,
    /// Times to the first token by team, in milliseconds.
    pub first_tokens: Vec<(String, u64)>,
}

impl SharedOutcomeCounts {
    /// Counts one finished request of a team. `objective_ms` is the team's
    /// objective for the time to the first token.
    pub fn record(&self, team: &str, observation: &Observation, objective_ms: u64, now_ms: u64) {
        let mut inner = lock(&self.inner);
        inner.ledger.record(team, observation, objective_ms, now_ms);
        if let Some(unsent) = &mut inner.unsent {
            unsent.record(team, observation, objective_ms);
        }
    }

    /// Returns the counts of every team over every time window.
    pub fn team_burns(&self, now_ms: u64) -> Vec<TeamBurn> {
        lock(&self.inner).ledger.publish(now_ms)
    }

    /// Returns the counts since the last call and resets them. Counting starts
    /// with the first call, so an instance without metrics stores nothing.
    pub fn take_unsent(&self) -> UnsentCounts {
        lock(&self.inner)
            .unsent
            .replace(UnsentCounts::default())
            .unwrap_or_default()
    }
}

impl UnsentCounts {
    fn record(&mut self, team: &str, observation: &Observation, objective_ms: u64) {
        let counts = self.counts.entry(team.to_owned()).or_default();
        counts.record(observation, objective_ms);
        if let Some(first_ms) = observation.first_token_ms
            && self.first_tokens.len() < MAX_FIRST_TOKEN_SAMPLES
        {
            self.first_tokens.push((team.to_owned(), first_ms));
        }
    }
}
