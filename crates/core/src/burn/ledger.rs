use {
    super::{Counts, Observation, SlidingWindow, TeamBurn, Window, WindowCounts},
    std::collections::BTreeMap,
};

/// Maximum number of teams with counts; requests of further teams are not
/// counted.
///
/// The windows of a team take about 7 KB, so 512 teams take less than 4 MB of
/// the 64 MB that an instance has. Teams come from records only, so callers
/// can't add any; the bound guards against an operator's mistake.
const MAX_TEAMS: usize = 512;

/// One instance's counts by team and window.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    teams: BTreeMap<String, Vec<SlidingWindow>>,
}

impl Ledger {
    /// Counts one request of a team in every window. `objective_ms` is the
    /// team's objective for the time to the first token.
    pub fn record(
        &mut self,
        team: &str,
        observation: &Observation,
        objective_ms: u64,
        now_ms: u64,
    ) {
        if !self.teams.contains_key(team) {
            self.remove_idle_teams(now_ms);
            if self.teams.len() >= MAX_TEAMS {
                return;
            }
        }
        let windows = self
            .teams
            .entry(team.to_owned())
            .or_insert_with(|| Window::ALL.map(SlidingWindow::new).to_vec());
        for window in windows {
            window.cell(now_ms).record(observation, objective_ms);
        }
    }

    /// When the ledger is full, removes teams without a request in any window.
    fn remove_idle_teams(&mut self, now_ms: u64) {
        if self.teams.len() >= MAX_TEAMS {
            self.teams
                .retain(|_, windows| windows.iter().any(|window| !window.sum(now_ms).is_empty()));
        }
    }

    /// Returns the counts of every team that has any, by window. The teams'
    /// rates are left at 0 for the caller to fill in.
    pub fn publish(&self, now_ms: u64) -> Vec<TeamBurn> {
        self.teams
            .iter()
            .map(|(team, windows)| TeamBurn {
                team: team.clone(),
                tokens_per_s: 0,
                windows: windows
                    .iter()
                    .map(|window| window_counts(window, now_ms))
                    .collect(),
            })
            .filter(|team| team.windows.iter().any(|w| !w.counts.is_empty()))
            .collect()
    }

    /// Returns the memory used by the counts in bytes, without allocator
    /// overhead.
    pub fn memory_bytes(&self) -> usize {
        let windows = Window::ALL.len() * size_of::<SlidingWindow>();
        let names: usize = self.teams.keys().map(String::len).sum();
        names + self.teams.len() * (windows + size_of::<(String, Vec<SlidingWindow>)>())
    }
}

fn window_counts(window: &SlidingWindow, now_ms: u64) -> WindowCounts {
    let counts: Counts = window.sum(now_ms);
    WindowCounts {
        window: window.window(),
        covered_ms: window.covered_ms(now_ms),
        counts,
    }
}
