/// How long an attempt waits for its engine.
///
/// The two silences have different causes, so one figure can't serve both.
/// Before the first token an engine may queue the request and compute a long
/// prompt; between two tokens a healthy engine needs some ten milliseconds.
/// With only the longer figure a caller would stare at half a sentence for
/// that long; with only the shorter one, long prompts would be given up while
/// they are computed, and computed again elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Longest wait for the first token.
    pub first_token_ms: u64,
    /// Longest wait between two tokens.
    pub between_tokens_ms: u64,
    /// When the request reaches the longest time that it may take. A shutdown
    /// waits a little longer than that, so that it cuts off none.
    pub request_until_ms: u64,
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts {
            first_token_ms: 20_000,
            between_tokens_ms: 5_000,
            request_until_ms: u64::MAX,
        }
    }
}
