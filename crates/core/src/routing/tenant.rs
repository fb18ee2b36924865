/// Rate and burst of a token bucket that all instances share.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TokenRate {
    /// Tokens refilled per second.
    pub per_s: f64,
    /// Maximum number of tokens that may be used at once.
    pub burst: f64,
}

/// One team and its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Unique name, sent to engines in place of the key.
    pub name: String,
    /// API keys of the team's callers.
    pub keys: Vec<String>,
    /// Priority that overrides the route's; 0 is the highest.
    pub priority: Option<u8>,
    /// Rate limit over all instances; `None` for no limit.
    pub rate: Option<TokenRate>,
    /// Whether the rate counts tokens; it counts requests otherwise.
    pub counts_tokens: bool,
    /// Number of tokens charged for a request without a token count.
    pub plain_tokens: u64,
    /// Whether cached parts of prompts are not shared with other teams.
    pub isolated: bool,
}

impl Tenant {
    /// Returns the cost of a request in units of the rate. `tokens` is the
    /// request's token count, if known.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        if self.counts_tokens {
            tokens.unwrap_or(self.plain_tokens)
        } else {
            1
        }
    }
}
