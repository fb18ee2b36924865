/// One part of a prompt, shared with other requests or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part and of all parts before it.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// What a request wants of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRequirements {
    /// Service that runs it.
    pub service: String,
    /// Model, for model engines.
    pub model: Option<String>,
    /// Tokens of prompt and longest answer; 0 for plain services.
    pub memory_tokens: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Parts of the prompt in order; the last is the request's own.
    pub parts: Vec<PromptPart>,
    /// Team whose cached parts only it may use, mixed into identities.
    pub isolation_salt: u64,
    /// Failure domain of this instance.
    pub domain: String,
}

impl EngineRequirements {
    /// Returns the identity of the longest part that other requests share.
    pub fn shared_part(&self) -> Option<u64> {
        self.shared_parts().next().map(|(part, _)| part)
    }

    /// Returns the parts that other requests share, the longest first: the
    /// identity of each and the tokens up to its end.
    pub fn shared_parts(&self) -> impl Iterator<Item = (u64, u64)> {
        let shared = self.parts.len().saturating_sub(1);
        (0..shared).rev().map(|last| {
            let parts = &self.parts[..=last];
            let tokens = parts.iter().map(|part| u64::from(part.tokens)).sum();
            (self.parts[last].id ^ self.isolation_salt, tokens)
        })
    }

    /// Returns the tokens of all parts but the request's own.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().next().map_or(0, |(_, tokens)| tokens)
    }
}
