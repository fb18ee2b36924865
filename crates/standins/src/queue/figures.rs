use super::deployment::{FIRST_TOKEN_TIMEOUT_US, TEAM_SHARES};

/// Result of one request.
#[derive(Debug, Clone, Default)]
pub(super) struct Outcome {
    pub(super) team: usize,
    pub(super) tokens: u64,
    pub(super) in_rate: bool,
    /// Whether the request arrived after the warm-up.
    pub(super) measured: bool,
    pub(super) blocks: usize,
    pub(super) hit_blocks: usize,
    pub(super) recomputed_blocks: usize,
    /// Time to first token, `None` if the request was refused or its caller
    /// disconnected.
    pub(super) first_token_us: Option<u64>,
    pub(super) refused: bool,
}

/// The users' five figures and the served tokens of one run, over requests after
/// the warm-up.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Figures {
    /// Cached blocks, in percent of the prompt blocks of all requests that were
    /// served.
    pub hit_percent: f64,
    /// 99th percentile of the time to first token, in milliseconds. A caller that
    /// disconnected counts with the time that it waited; a refused request does
    /// not count.
    pub p99_ms: f64,
    /// Blocks computed although they had been computed in the 30 s before, in
    /// percent of the prompt blocks of all requests that were served.
    pub recomputed_percent: f64,
    /// Tokens served in percent of tokens requested within the rate, of the team
    /// with the lowest value.
    pub worst_team_percent: f64,
    /// Requests within their team's rate that were refused or whose caller
    /// disconnected, in percent of all requests within their team's rate.
    pub refused_percent: f64,
    /// Tokens served within the rate, by team.
    pub served_tokens: [u64; TEAM_SHARES.len()],
}

impl Figures {
    pub(super) fn of(outcomes: &[Outcome]) -> Figures {
        let measured: Vec<&Outcome> = outcomes.iter().filter(|o| o.measured).collect();
        let ran = || measured.iter().filter(|o| o.first_token_us.is_some());
        let blocks: usize = ran().map(|o| o.blocks).sum();
        let hit: usize = ran().map(|o| o.hit_blocks).sum();
        let recomputed: usize = ran().map(|o| o.recomputed_blocks).sum();
        let in_rate: Vec<&&Outcome> = measured.iter().filter(|o| o.in_rate).collect();
        let lost = in_rate.iter().filter(|o| o.first_token_us.is_none());
        let mut served_tokens = [0; TEAM_SHARES.len()];
        for outcome in in_rate.iter().filter(|o| o.first_token_us.is_some()) {
            served_tokens[outcome.team] += outcome.tokens;
        }
        Figures {
            hit_percent: percent(hit as f64, blocks as f64),
            p99_ms: p99_ms(&measured),
            recomputed_percent: percent(recomputed as f64, blocks as f64),
            worst_team_percent: worst_team(&in_rate),
            refused_percent: percent(lost.count() as f64, in_rate.len() as f64),
            served_tokens,
        }
    }
}

fn percent(part: f64, whole: f64) -> f64 {
    if whole == 0.0 {
        0.0
    } else {
        100.0 * part / whole
    }
}

fn p99_ms(measured: &[&Outcome]) -> f64 {
    let mut times_us: Vec<u64> = measured
        .iter()
        .filter(|o| !o.refused)
        .map(|o| o.first_token_us.unwrap_or(FIRST_TOKEN_TIMEOUT_US))
        .collect();
    times_us.sort_unstable();
    let at = times_us.len().saturating_sub(1) * 99 / 100;
    times_us.get(at).map_or(0.0, |us| *us as f64 / 1e3)
}

fn worst_team(in_rate: &[&&Outcome]) -> f64 {
    (0..TEAM_SHARES.len())
        .map(|team| {
            let own = || in_rate.iter().filter(|o| o.team == team);
            let asked: u64 = own().map(|o| o.tokens).sum();
            let served: u64 = own()
                .filter(|o| o.first_token_us.is_some())
                .map(|o| o.tokens)
                .sum();
            if asked == 0 {
                return 100.0;
            }
            percent(served as f64, asked as f64)
        })
        .fold(100.0, f64::min)
}

/// Mean of a figure over several seeds and the largest deviation from it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Spread {
    /// Mean over all values, 0 if there are none.
    pub mean: f64,
    /// Largest absolute deviation from the mean.
    pub max_deviation: f64,
}

impl Spread {
    /// Returns the mean and the largest deviation of the values.
    pub fn of(values: impl Iterator<Item = f64> + Clone) -> Spread {
        let count = values.clone().count().max(1);
        let mean = values.clone().sum::<f64>() / count as f64;
        let max_deviation = values.map(|v| (v - mean).abs()).fold(0.0, f64::max);
        Spread {
            mean,
            max_deviation,
        }
    }
}
