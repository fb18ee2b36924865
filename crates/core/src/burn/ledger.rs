use {
    super::{Counts, Observation, SlidingWindow, TeamBurn, Window, WindowCounts},
    std::collections::BTreeMap,
};

/// Teams that are counted apart.
///
/// A team's rings take about 7 KB, so 512 teams take less than 4 MB of the
/// 64 MB that an instance has. Teams come from records only, so a caller can't
/// add any; the bound is for an operator's mistake.
const MAX_TEAMS: usize = 512;

/// Counts of every team in one instance.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    teams: BTreeMap<String, Vec<SlidingWindow>>,
}

impl Ledger {
    /// Counts one request of a team.
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

    /// Forgets teams that asked nothing in the longest window.
    fn remove_idle_teams(&mut self, now_ms: u64) {
        if self.teams.len() >= MAX_TEAMS {
            self.teams
                .retain(|_, windows| windows.iter().any(|window| !window.sum(now_ms).is_empty()));
        }
    }

    /// Returns the counts of every team over every window.
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

    /// Returns the memory that counting takes, in bytes, allocator aside.
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
