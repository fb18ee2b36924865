/// Timeouts of an attempt.
///
/// The two waits have different causes and need separate timeouts. Before the
/// first token an engine may queue the request and compute a long prompt.
/// Between two tokens a healthy engine needs some ten milliseconds. With the
/// longer timeout for both, a caller would wait that long in the middle of an
/// answer. With the shorter one for both, long prompts would be abandoned
/// during their computation and computed again on another engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Maximum wait for the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Maximum wait between two tokens, in milliseconds.
    pub between_tokens_ms: u64,
    /// Time at which the request reaches its maximum total time, in
    /// milliseconds of the monotonic clock. A shutdown waits a little longer
    /// than this total, so that it cuts off no request.
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
