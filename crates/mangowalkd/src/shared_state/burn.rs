use {
    super::lock,
    mangowalk_core::burn::{Counts, Ledger, Observation, TeamBurn},
    std::{collections::BTreeMap, sync::Mutex},
};

/// First tokens that wait for the metrics daemon. More in one second are left
/// out: statsd timers are samples, and memory must stay bounded.
const MOST_SAMPLES: usize = 1_024;

/// What became of every team's requests.
#[derive(Debug, Default)]
pub struct SharedBurn {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    ledger: Ledger,
    unsent: Option<UnsentCounts>,
}

/// What was counted since metrics were last sent.
#[derive(Debug, Default)]
pub struct UnsentCounts {
    /// Counts by team.
    pub counts: BTreeMap<String, Counts>,
    /// Times to the first token by team, in milliseconds.
    pub first_tokens: Vec<(String, u64)>,
}

impl SharedBurn {
    /// Counts one request of a team.
    pub fn note(&self, team: &str, seen: &Observation, objective_ms: u64, now_ms: u64) {
        let mut inner = lock(&self.inner);
        inner.ledger.record(team, seen, objective_ms, now_ms);
        if let Some(unsent) = &mut inner.unsent {
            unsent.note(team, seen, objective_ms);
        }
    }

    /// Returns the counts of every team over every window.
    pub fn publish(&self, now_ms: u64) -> Vec<TeamBurn> {
        lock(&self.inner).ledger.publish(now_ms)
    }

    /// Takes what was counted since the last call. Nothing is kept for it
    /// before the first one, so that an instance without metrics pays nothing.
    pub fn take_unsent(&self) -> UnsentCounts {
        lock(&self.inner)
            .unsent
            .replace(UnsentCounts::default())
            .unwrap_or_default()
    }
}

impl UnsentCounts {
    fn note(&mut self, team: &str, seen: &Observation, objective_ms: u64) {
        let counts = self.counts.entry(team.to_owned()).or_default();
        counts.record(seen, objective_ms);
        if let Some(first_ms) = seen.first_token_ms
            && self.first_tokens.len() < MOST_SAMPLES
        {
            self.first_tokens.push((team.to_owned(), first_ms));
        }
    }
}
