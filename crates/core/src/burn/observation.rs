use super::End;

/// What was seen of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// Time from its arrival to the first token, none if none came.
    pub first_token_ms: Option<u64>,
    /// How it ended.
    pub end: End,
    /// Tokens used; for a request over the rate, tokens asked for.
    pub tokens: u64,
}
