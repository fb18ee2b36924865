/// Tokens a second and at once, over all instances.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TokenRate {
    /// Tokens that come back each second.
    pub per_s: f64,
    /// Tokens that may be spent at once.
    pub burst: f64,
}

/// One team and its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Unique name, passed on to engines in place of the key.
    pub name: String,
    /// Keys that callers present.
    pub keys: Vec<String>,
    /// Rank that goes before the route's; 0 is the highest.
    pub priority: Option<u8>,
    /// Tokens over all instances, or no limit.
    pub rate: Option<TokenRate>,
    /// Whether the rate counts tokens; requests otherwise.
    pub counts_tokens: bool,
    /// What a request without a token count is taken for.
    pub plain_tokens: u64,
    /// Whether no cached part is shared with other teams.
    pub isolated: bool,
}

impl Tenant {
    /// Returns what a request takes of the rate.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        if self.counts_tokens {
            tokens.unwrap_or(self.plain_tokens)
        } else {
            1
        }
    }
}
