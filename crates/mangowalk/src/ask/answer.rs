use serde::Serialize;

/// Answer to a chat request, as far as it was received; the JSON output of
/// `ask`.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub(super) struct Answer {
    /// Text of the answer.
    pub(super) text: String,
    /// Whether the stream ended with its end marker, `[DONE]`.
    pub(super) complete: bool,
    /// Number of stream events that carried text.
    pub(super) events: u64,
    /// URL of the instance that answered.
    pub(super) instance: String,
    /// ID of the request; empty if the response has no header `x-request-id`.
    pub(super) request_id: String,
    /// Number of prompt tokens; 0 if the stream reports no usage.
    pub(super) prompt_tokens: u64,
    /// Number of prompt tokens that the engine had in its cache.
    pub(super) cached_tokens: u64,
    /// Number of answer tokens.
    pub(super) completion_tokens: u64,
    /// Time from sending the request to the first text, in milliseconds.
    pub(super) first_token_ms: u64,
}

impl Answer {
    /// Returns the token counts, the time to the first token, the instance and
    /// the request ID as a sentence.
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
