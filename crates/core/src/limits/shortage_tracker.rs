use {super::refill_ms, crate::record::Rate, std::collections::HashMap};

/// Time for which the recorded tokens of all instances remain usable.
const SHORTAGE_VALID_MS: u64 = 100;

/// Maximum time in milliseconds that a request waits for tokens to refill.
/// Beyond that, an immediate refusal serves the caller better.
pub const MAX_WAIT_MS: u64 = 300;

/// Time after a refusal during which no request of the team waits.
const NO_WAIT_AFTER_REFUSAL_MS: u64 = 1_000;

/// Recent shortages of each team: the tokens that all instances had together,
/// and the tokens that requests are waiting for.
///
/// Without this, every refused request of a team that sends several times its
/// rate would query all peers. The recorded tokens plus the whole rate since
/// then bound what can be available now; a request beyond that bound that may
/// not wait either is refused without querying peers.
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
    /// Records the tokens that a refused request found over all instances.
    pub fn record_shortage(&mut self, team: &str, tokens: u64, now_ms: u64) {
        let shortage = Shortage {
            tokens,
            at_ms: now_ms,
        };
        self.shortages.insert(team.to_owned(), shortage);
    }

    /// Returns how many tokens a request lacks at least, if it can be refused
    /// without querying peers; otherwise `None`.
    pub fn certain_shortage(
        &self,
        team: &str,
        rate: &Rate,
        tokens: u64,
        now_ms: u64,
    ) -> Option<u64> {
        let shortage = self.shortages.get(team)?;
        let since_ms = now_ms.saturating_sub(shortage.at_ms);
        if since_ms > SHORTAGE_VALID_MS {
            return None;
        }
        let refilled = rate.tokens_per_s.saturating_mul(since_ms).div_ceil(1_000);
        let short_tokens = tokens.saturating_sub(shortage.tokens.saturating_add(refilled));
        let is_refused =
            short_tokens > 0 && self.wait_ms(team, rate, short_tokens, now_ms).is_none();
        is_refused.then_some(short_tokens)
    }

    /// Returns how many milliseconds missing tokens take to refill, after those
    /// that other requests wait for; `None` if the request should not wait.
    ///
    /// A team with a recent refusal is over its rate. A request that waits then
    /// competes with all requests that arrive meanwhile, and is refused later
    /// instead of at once.
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

    /// Adds tokens that a request starts to wait for.
    pub fn begin_wait(&mut self, team: &str, tokens: u64) {
        *self.waiting_tokens.entry(team.to_owned()).or_default() += tokens;
    }

    /// Removes tokens that a request no longer waits for.
    pub fn end_wait(&mut self, team: &str, tokens: u64) {
        if let Some(waiting) = self.waiting_tokens.get_mut(team) {
            *waiting = waiting.saturating_sub(tokens);
        }
    }
}
