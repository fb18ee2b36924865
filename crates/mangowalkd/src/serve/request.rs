use mangowalk_core::placement::TOKEN_BYTES;

/// A request for generated text, read and checked by the callers' edge.
#[derive(Debug, Clone, PartialEq)]
pub struct ChatRequest {
    /// Identity of the request towards upstreams and in logs.
    pub request_id: String,
    /// Team that its API key authenticates.
    pub team: String,
    /// Digest of its API key. The key itself is dropped at the edge.
    pub key_digest: String,
    /// Requested model.
    pub model: String,
    /// Prompt, for a chat with its messages joined into one text.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Maximum time to the first token, in milliseconds from the request's
    /// arrival; `None` if the caller set no deadline.
    pub deadline_ms: Option<u64>,
}

/// A call of a plain service, read by the callers' edge.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRequest {
    /// Identity of the request towards upstreams and in logs.
    pub request_id: String,
    /// Team that its API key authenticates.
    pub team: String,
    /// Requested service.
    pub service: String,
    /// Path on the service, with its query.
    pub path: String,
    /// HTTP method.
    pub method: String,
    /// Media type of the body.
    pub content_type: String,
    /// Whether the caller marked the call as not repeatable.
    pub marked_not_repeatable: bool,
    /// Idempotency key; `None` if the caller sent none.
    pub idempotency_key: Option<String>,
    /// Body as received.
    pub body: Vec<u8>,
}

impl ServiceRequest {
    /// Returns the number of tokens of the team's rate that the call uses: the
    /// length of its body in tokens, at least 1.
    pub(super) fn tokens(&self) -> u64 {
        (self.body.len().div_ceil(TOKEN_BYTES) as u64).max(1)
    }
}
