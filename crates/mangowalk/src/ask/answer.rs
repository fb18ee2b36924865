use serde::Serialize;

/// An answer as it came.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub(super) struct Answer {
    /// Text.
    pub(super) text: String,
    /// Whether the closing marker came.
    pub(super) complete: bool,
    /// Events of the stream that brought text.
    pub(super) events: u64,
    /// Instance that answered.
    pub(super) instance: String,
    /// Identity of the request.
    pub(super) request_id: String,
    /// Tokens of the prompt.
    pub(super) prompt_tokens: u64,
    /// Tokens of the prompt that the engine had in its cache.
    pub(super) cached_tokens: u64,
    /// Tokens of the answer.
    pub(super) completion_tokens: u64,
    /// Time to the first text, in milliseconds.
    pub(super) first_token_ms: u64,
}

impl Answer {
    /// Returns the counts in words.
    pub(super) fn summary(&self) -> String {
        format!(
            "{} of {} prompt tokens came from the cache; {} tokens answered, the first after {} ms, by {} as {}.",
            self.cached_tokens,
            self.prompt_tokens,
            self.completion_tokens,
            self.first_token_ms,
            self.instance,
            self.request_id,
        )
    }
}
