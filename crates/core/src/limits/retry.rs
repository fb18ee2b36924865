use {crate::record::Rate, std::collections::HashMap};

const MS_PER_S: u64 = 1_000;

/// Longest time that a refused caller is told to wait.
const LONGEST_RETRY_MS: u64 = 60_000;

/// When refused callers of each team should come back.
///
/// Each refused caller is told a time behind the one told before it, as far
/// behind as its tokens take to be minted. Told the same time, all would come
/// back together and all but the first would be refused again.
#[derive(Debug, Clone, Default)]
pub struct RetryTimes {
    promised_ms: HashMap<String, u64>,
}

impl RetryTimes {
    /// Returns after how long a refused caller's tokens will be there.
    ///
    /// `short_tokens` are missing now out of `tokens`; `instances` share the
    /// rate; `jitter` is drawn from 0 to 255 and adds up to a quarter.
    pub fn retry_ms(&mut self, team: &str, rate: &Rate, ask: &RetryAsk, now_ms: u64) -> u64 {
        let first_ms = now_ms.saturating_add(minting_ms(rate, ask.short_tokens));
        let promised_ms = self.promised_ms.entry(team.to_owned()).or_default();
        let due_ms = first_ms.max(*promised_ms);
        let share_ms = minting_ms(rate, ask.tokens).saturating_mul(ask.instances.max(1));
        let latest_ms = now_ms.saturating_add(LONGEST_RETRY_MS);
        *promised_ms = due_ms.saturating_add(share_ms).min(latest_ms);
        let wait_ms = due_ms.min(latest_ms).saturating_sub(now_ms).max(1);
        wait_ms + wait_ms * u64::from(ask.jitter) / (4 * 255)
    }
}

/// What a refused request lacked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RetryAsk {
    /// Tokens that the request reserves.
    pub tokens: u64,
    /// Tokens that were missing over all instances that answered.
    pub short_tokens: u64,
    /// Instances among which the rate's refused callers are spread.
    pub instances: u64,
    /// Random number that spreads callers further.
    pub jitter: u8,
}

/// Returns how long the whole rate takes to mint tokens.
pub fn minting_ms(rate: &Rate, tokens: u64) -> u64 {
    tokens
        .saturating_mul(MS_PER_S)
        .div_ceil(rate.tokens_per_s.max(1))
}
