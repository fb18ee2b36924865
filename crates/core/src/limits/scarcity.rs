use {super::minting_ms, crate::record::Rate, std::collections::HashMap};

/// Time for which a look at every peer's tokens counts.
const COUNTS_MS: u64 = 100;

/// How few tokens of each team all instances had together, a moment ago.
///
/// A team that sends several times its rate would have each of its refused
/// requests ask every peer, and take tokens from the ones that fit. What was
/// there a moment ago plus the whole rate since is the most that can be there
/// now; a request over it is refused with no one asked.
#[derive(Debug, Clone, Default)]
pub struct Scarcity {
    looks: HashMap<String, Look>,
}

#[derive(Debug, Clone, Copy)]
struct Look {
    tokens: u64,
    at_ms: u64,
}

impl Scarcity {
    /// Notes the tokens that a request found over all instances, too few for
    /// it.
    pub fn note(&mut self, team: &str, tokens: u64, now_ms: u64) {
        let look = Look {
            tokens,
            at_ms: now_ms,
        };
        self.looks.insert(team.to_owned(), look);
    }

    /// Returns how many tokens are surely missing for a request; none if it
    /// is worth asking.
    pub fn short_tokens(&self, team: &str, rate: &Rate, tokens: u64, now_ms: u64) -> Option<u64> {
        let look = self.looks.get(team)?;
        let since_ms = now_ms.saturating_sub(look.at_ms);
        let missing = tokens.saturating_sub(look.tokens);
        if since_ms > COUNTS_MS || minting_ms(rate, missing) <= since_ms {
            return None;
        }
        let minted = rate.tokens_per_s.saturating_mul(since_ms) / 1_000;
        Some(missing.saturating_sub(minted).max(1))
    }
}
