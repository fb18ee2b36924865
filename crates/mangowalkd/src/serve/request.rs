use mangowalk_core::placement::TOKEN_BYTES;

/// A request for generated text, after its edge has read it.
#[derive(Debug, Clone, PartialEq)]
pub struct ChatRequest {
    /// Identity of the request.
    pub request_id: String,
    /// Team whose key came with it.
    pub team: String,
    /// Digest of the key that came with it. The key itself is dropped at the
    /// edge.
    pub key_digest: String,
    /// Model asked for.
    pub model: String,
    /// Prompt as text.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Longest time to the first token that the caller will wait, counted
    /// from its arrival; none if it did not say.
    pub deadline_ms: Option<u64>,
}

/// A call of a plain service, after its edge has read it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRequest {
    /// Identity of the request.
    pub request_id: String,
    /// Team whose key came with it.
    pub team: String,
    /// Service asked for.
    pub service: String,
    /// Path on the service, with its query.
    pub path: String,
    /// HTTP method.
    pub method: String,
    /// Media type of the body.
    pub content_type: String,
    /// Whether the caller marked it as not repeatable.
    pub marked_not_repeatable: bool,
    /// Idempotency key, if the caller sent one.
    pub idempotency_key: Option<String>,
    /// Body.
    pub body: Vec<u8>,
}

impl ServiceRequest {
    /// Returns the tokens that the call counts as.
    pub(super) fn tokens(&self) -> u64 {
        (self.body.len().div_ceil(TOKEN_BYTES) as u64).max(1)
    }
}
