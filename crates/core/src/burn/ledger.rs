use {
    super::{Counts, Observation, Ring, TeamBurn, Window, WindowCounts},
    std::collections::BTreeMap,
};

/// Teams that are counted apart.
///
/// A team's rings take about 7 KB, so 512 teams take less than 4 MB of the
/// 64 MB that an instance has. Teams come from records only, so a caller can't
/// add any; the bound is for an operator's mistake.
const MOST_TEAMS: usize = 512;

/// Counts of every team in one instance.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    teams: BTreeMap<String, Vec<Ring>>,
}

impl Ledger {
    /// Counts one request of a team.
    pub fn note(&mut self, team: &str, seen: &Observation, objective_ms: u64, now_ms: u64) {
        if !self.teams.contains_key(team) {
            self.make_room(now_ms);
            if self.teams.len() >= MOST_TEAMS {
                return;
            }
        }
        let rings = self
            .teams
            .entry(team.to_owned())
            .or_insert_with(|| Window::ALL.map(Ring::new).to_vec());
        for ring in rings {
            ring.cell(now_ms).note(seen, objective_ms);
        }
    }

    /// Forgets teams that asked nothing in the longest window.
    fn make_room(&mut self, now_ms: u64) {
        if self.teams.len() >= MOST_TEAMS {
            self.teams
                .retain(|_, rings| rings.iter().any(|r| !r.sum(now_ms).is_empty()));
        }
    }

    /// Returns the counts of every team over every window.
    pub fn publish(&self, now_ms: u64) -> Vec<TeamBurn> {
        self.teams
            .iter()
            .map(|(team, rings)| TeamBurn {
                team: team.clone(),
                tokens_per_s: 0,
                windows: rings.iter().map(|r| window_counts(r, now_ms)).collect(),
            })
            .filter(|team| team.windows.iter().any(|w| !w.counts.is_empty()))
            .collect()
    }

    /// Returns the memory that counting takes, in bytes, allocator aside.
    pub fn memory_bytes(&self) -> usize {
        let rings = Window::ALL.len() * size_of::<Ring>();
        let names: usize = self.teams.keys().map(String::len).sum();
        names + self.teams.len() * (rings + size_of::<(String, Vec<Ring>)>())
    }
}

fn window_counts(ring: &Ring, now_ms: u64) -> WindowCounts {
    let counts: Counts = ring.sum(now_ms);
    WindowCounts {
        window: ring.window(),
        covered_ms: ring.covered_ms(now_ms),
        counts,
    }
}
