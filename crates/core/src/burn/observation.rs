use super::RequestEnd;

/// Result of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// Time from the request's arrival to the first token, in milliseconds;
    /// `None` if there was no token.
    pub first_token_ms: Option<u64>,
    /// How the request ended.
    pub end: RequestEnd,
    /// Number of tokens used by a completed generation; for other requests, the
    /// tokens that they reserve.
    pub tokens: u64,
}
