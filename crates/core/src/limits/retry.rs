use {crate::record::Rate, std::collections::HashMap};

const MS_PER_S: u64 = 1_000;

/// Longest time that a refused caller is told to wait.
const MAX_RETRY_MS: u64 = 60_000;

/// When refused callers of each team should come back.
///
/// Each refused caller is told a time behind the one told before it, as far
/// behind as its tokens take to be minted. Told the same time, all would come
/// back together and all but the first would be refused again.
#[derive(Debug, Clone, Default)]
pub struct RetrySchedule {
    next_retry_ms: HashMap<String, u64>,
}

impl RetrySchedule {
    /// Returns after how long a refused caller's tokens will be there.
    ///
    /// `short_tokens` are missing now out of `tokens`; `instances` share the
    /// rate; `jitter` is drawn from 0 to 255 and adds up to a quarter.
    pub fn retry_ms(
        &mut self,
        team: &str,
        rate: &Rate,
        request: &RefusedRequest,
        now_ms: u64,
    ) -> u64 {
        let refilled_at_ms = now_ms.saturating_add(refill_ms(rate, request.short_tokens));
        let next_retry_ms = self.next_retry_ms.entry(team.to_owned()).or_default();
        let due_ms = refilled_at_ms.max(*next_retry_ms);
        let share_ms = refill_ms(rate, request.tokens).saturating_mul(request.instances.max(1));
        let max_due_ms = now_ms.saturating_add(MAX_RETRY_MS);
        *next_retry_ms = due_ms.saturating_add(share_ms).min(max_due_ms);
        let wait_ms = due_ms.min(max_due_ms).saturating_sub(now_ms).max(1);
        wait_ms + wait_ms * u64::from(request.jitter) / (4 * 255)
    }
}

/// What a refused request lacked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RefusedRequest {
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
pub fn refill_ms(rate: &Rate, tokens: u64) -> u64 {
    tokens
        .saturating_mul(MS_PER_S)
        .div_ceil(rate.tokens_per_s.max(1))
}
