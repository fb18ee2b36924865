/// One of the consecutive parts of a prompt. Other requests may share it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the prefix that ends with this part, so of this part and all
    /// parts before it.
    pub id: u64,
    /// Length of this part alone.
    pub tokens: u32,
}

/// What a request requires of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRequirements {
    /// Service that runs the request.
    pub service: String,
    /// Model; `None` for services without one.
    pub model: Option<String>,
    /// Tokens of the prompt and the longest possible answer; 0 for services
    /// without a model.
    pub memory_tokens: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Parts of the prompt in order. The last one belongs to this request
    /// alone.
    pub parts: Vec<PromptPart>,
    /// Mixed into the identities of parts, so that an isolated team shares no
    /// cached parts with others; 0 for a request without an isolated team.
    pub isolation_salt: u64,
    /// Failure domain of the instance that handles the request. Engines in other
    /// domains cost more.
    pub domain: String,
}

impl EngineRequirements {
    /// Returns the identity of the longest prefix that other requests may share;
    /// `None` if the prompt has fewer than two parts.
    pub fn shared_part(&self) -> Option<u64> {
        self.shared_parts().next().map(|(part, _)| part)
    }

    /// Returns the prefixes that other requests may share, longest first, each
    /// with its identity and its length in tokens.
    pub fn shared_parts(&self) -> impl Iterator<Item = (u64, u64)> {
        let shared_count = self.parts.len().saturating_sub(1);
        (0..shared_count).rev().map(|end| {
            let parts = &self.parts[..=end];
            let tokens = parts.iter().map(|part| u64::from(part.tokens)).sum();
            (self.parts[end].id ^ self.isolation_salt, tokens)
        })
    }

    /// Returns the IDs of all parts but the last, in order, as the caller sent them.
    pub fn shared_part_ids(&self) -> impl DoubleEndedIterator<Item = u64> + ExactSizeIterator {
        let shared_count = self.parts.len().saturating_sub(1);
        self.parts[..shared_count].iter().map(|part| part.id)
    }

    /// Returns the tokens of all parts but the last.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().next().map_or(0, |(_, tokens)| tokens)
    }
}
