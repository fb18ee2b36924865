use {super::refill_ms, crate::record::Rate, std::collections::HashMap};

/// Time for which a look at every peer's tokens counts.
const SHORTAGE_VALID_MS: u64 = 100;

/// Longest time that a request waits for tokens that are about to be minted.
/// Longer, and its caller does better to hear of the refusal at once.
pub const MAX_WAIT_MS: u64 = 300;

/// Time after a refusal in which no request of the team waits.
const NO_WAIT_AFTER_REFUSAL_MS: u64 = 1_000;

/// How few tokens of each team all instances had together a moment ago, and
/// how many requests wait for more.
///
/// A team that sends several times its rate would have each of its refused
/// requests ask every peer. What was there a moment ago plus the whole rate
/// since is the most that can be there now; a request over it, behind those
/// that wait, is refused with no one asked.
#[derive(Debug, Clone, Default)]
pub struct ShortageTracker {
    shortages: HashMap<String, Shortage>,
    waiting_tokens: HashMap<String, u64>,
}

#[derive(Debug, Clone, Copy)]
struct Shortage {
    tokens: u64,
    at_ms: u64,
}

impl ShortageTracker {
    /// Notes the tokens that a request found over all instances, too few for
    /// it.
    pub fn record_shortage(&mut self, team: &str, tokens: u64, now_ms: u64) {
        let shortage = Shortage {
            tokens,
            at_ms: now_ms,
        };
        self.shortages.insert(team.to_owned(), shortage);
    }

    /// Returns how many tokens are surely missing for a request that is not
    /// worth asking for.
    pub fn missing_tokens(&self, team: &str, rate: &Rate, tokens: u64, now_ms: u64) -> Option<u64> {
        let shortage = self.shortages.get(team)?;
        let since_ms = now_ms.saturating_sub(shortage.at_ms);
        if since_ms > SHORTAGE_VALID_MS {
            return None;
        }
        let minted = rate.tokens_per_s.saturating_mul(since_ms).div_ceil(1_000);
        let short_tokens = tokens.saturating_sub(shortage.tokens.saturating_add(minted));
        let is_refused =
            short_tokens > 0 && self.wait_ms(team, rate, short_tokens, now_ms).is_none();
        is_refused.then_some(short_tokens)
    }

    /// Returns how long missing tokens take to be minted, behind those for
    /// which others wait; none if that is too long to wait.
    ///
    /// A team of which a request was refused a moment ago is over its rate.
    /// Whoever waits then competes with all who come meanwhile, and is refused
    /// later instead of at once.
    pub fn wait_ms(&self, team: &str, rate: &Rate, short_tokens: u64, now_ms: u64) -> Option<u64> {
        let refused = self.shortages.get(team);
        if refused.is_some_and(|shortage| {
            now_ms.saturating_sub(shortage.at_ms) < NO_WAIT_AFTER_REFUSAL_MS
        }) {
            return None;
        }
        let waiting = self.waiting_tokens.get(team).copied().unwrap_or_default();
        let wait_ms = refill_ms(rate, short_tokens.saturating_add(waiting));
        (wait_ms <= MAX_WAIT_MS).then_some(wait_ms)
    }

    /// Counts a request as waiting for tokens.
    pub fn begin_wait(&mut self, team: &str, tokens: u64) {
        *self.waiting_tokens.entry(team.to_owned()).or_default() += tokens;
    }

    /// Counts a request as waiting no longer.
    pub fn end_wait(&mut self, team: &str, tokens: u64) {
        if let Some(waiting) = self.waiting_tokens.get_mut(team) {
            *waiting = waiting.saturating_sub(tokens);
        }
    }
}
