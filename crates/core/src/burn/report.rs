use {
    super::{BurnRow, Counts, Level, Objective, TeamBurn, Window, WindowBurn, WindowCounts},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

const MS_PER_S: u64 = 1_000;

/// Burn rates over the whole fleet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Burn rates by team and objective, the most urgent first.
    pub rows: Vec<BurnRow>,
    /// Latencies and use of the rate, by team.
    pub teams: Vec<TeamSummary>,
}

/// Time to first token in the longest window and use of the rate, for one team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamSummary {
    /// Name of the team.
    pub team: String,
    /// Median time to first token, as an upper bound in milliseconds; `None` if
    /// there is none or it is above the last bucket bound.
    pub first_token_half_ms: Option<u64>,
    /// 99th percentile of the time to first token, as an upper bound in
    /// milliseconds; `None` as for the median.
    pub first_token_99_percent_ms: Option<u64>,
    /// Number of requests refused for the rate, by window.
    pub over_rate: Vec<u64>,
    /// Requested tokens in percent of the team's rate, by window.
    pub asked_percent: Vec<u64>,
}

#[derive(Debug, Default)]
struct TeamSum {
    tokens_per_s: u64,
    windows: BTreeMap<Window, (u64, Counts)>,
}

impl TeamSum {
    fn add(&mut self, window: &WindowCounts) {
        let (covered_ms, counts) = self.windows.entry(window.window).or_default();
        *covered_ms = (*covered_ms).max(window.covered_ms);
        counts.add(&window.counts);
    }

    fn window(&self, window: Window) -> (u64, Counts) {
        self.windows.get(&window).copied().unwrap_or_default()
    }

    fn asked_percent(&self, window: Window) -> u64 {
        let (covered_ms, counts) = self.window(window);
        let allowed = self.tokens_per_s.saturating_mul(covered_ms) / MS_PER_S;
        (counts.asked_tokens().saturating_mul(100))
            .checked_div(allowed)
            .unwrap_or(0)
    }

    fn burn(&self, objective: Objective, window: Window) -> WindowBurn {
        let (_, counts) = self.window(window);
        let (good, mut bad) = counts.good_and_bad(objective);
        // The team requested no more than its rate in total, and instances
        // still refused requests for the rate: the shares of the rate were at
        // the wrong instances. These refusals count as errors of the system.
        let is_within_rate = self.tokens_per_s > 0 && self.asked_percent(window) <= 100;
        if objective == Objective::Admitted && is_within_rate {
            bad += counts.over_rate;
        }
        WindowBurn {
            window,
            good,
            bad,
            burn: objective.burn(good, bad),
        }
    }
}

impl BurnReport {
    /// Computes the report from the counts that all instances published.
    pub fn of<'a>(published: impl IntoIterator<Item = &'a TeamBurn>) -> BurnReport {
        let mut sums: BTreeMap<&str, TeamSum> = BTreeMap::new();
        for team in published {
            let sum = sums.entry(&team.team).or_default();
            sum.tokens_per_s = sum.tokens_per_s.max(team.tokens_per_s);
            for window in &team.windows {
                sum.add(window);
            }
        }
        let mut report = BurnReport::default();
        for (team, sum) in &sums {
            for objective in Objective::ALL {
                report.rows.push(row(team, objective, sum));
            }
            report.teams.push(summary(team, sum));
        }
        // The sort is stable, so teams of the same level stay sorted by name.
        report.rows.sort_by_key(|row| std::cmp::Reverse(row.level));
        report
    }
}

fn row(team: &str, objective: Objective, sum: &TeamSum) -> BurnRow {
    let windows: Vec<WindowBurn> = Window::ALL
        .into_iter()
        .map(|w| sum.burn(objective, w))
        .collect();
    BurnRow {
        team: team.to_owned(),
        objective,
        level: Level::of(&windows),
        windows,
    }
}

fn summary(team: &str, sum: &TeamSum) -> TeamSummary {
    let (_, longest) = sum.window(Window::SixHours);
    TeamSummary {
        team: team.to_owned(),
        first_token_half_ms: longest.first_token.percentile_ms(50),
        first_token_99_percent_ms: longest.first_token.percentile_ms(99),
        over_rate: Window::ALL.map(|w| sum.window(w).1.over_rate).to_vec(),
        asked_percent: Window::ALL.map(|w| sum.asked_percent(w)).to_vec(),
    }
}
