use {crate::record::Rate, std::collections::HashMap};

const MS_PER_S: u64 = 1_000;

/// Maximum time after which a refused caller should retry, before jitter.
const MAX_RETRY_MS: u64 = 60_000;

/// Retry times for refused callers of each team.
///
/// Each refused caller gets a later time than the previous one, by as long as
/// its tokens take to refill. With equal times all callers would retry together
/// and all but the first would be refused again.
#[derive(Debug, Clone, Default)]
pub struct RetrySchedule {
    next_retry_ms: HashMap<String, u64>,
}

impl RetrySchedule {
    /// Returns after how many milliseconds a refused caller should retry, and
    /// schedules the team's next refused caller behind it. Jitter adds up to a
    /// quarter to the wait.
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

/// A request that was refused for lack of tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RefusedRequest {
    /// Tokens that the request reserves.
    pub tokens: u64,
    /// Tokens missing, counting those of all instances that answered.
    pub short_tokens: u64,
    /// Number of instances that share the rate and schedule its refused callers
    /// independently.
    pub instances: u64,
    /// Random number from 0 to 255 that spreads callers further.
    pub jitter: u8,
}

/// Returns how many milliseconds the whole rate takes to refill `tokens`.
pub fn refill_ms(rate: &Rate, tokens: u64) -> u64 {
    tokens
        .saturating_mul(MS_PER_S)
        .div_ceil(rate.tokens_per_s.max(1))
}
