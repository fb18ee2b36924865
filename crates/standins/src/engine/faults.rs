use serde::{Deserialize, Serialize};

/// Faults injected into an engine, all off by default.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Each attempt crashes the engine after it has written this many tokens.
    pub crash_after_tokens: Option<u64>,
    /// A prompt that contains this text crashes the engine.
    pub crash_on: Option<String>,
    /// Every attempt stalls after this many tokens, with its stream open.
    pub freeze_after_tokens: Option<u64>,
    /// Number of bytes of padding appended to each token.
    pub pad_bytes: usize,
    /// Every attempt stalls at its next token, with its stream open.
    pub stall: bool,
    /// Every attempt ends after this many tokens as if it were complete: the
    /// response body ends by the rules of HTTP, but without the final event.
    pub cut_after_tokens: Option<u64>,
    /// Every attempt sends a failure event in place of tokens; the value is
    /// the event's `not_run`, which states whether nothing ran.
    pub fail_not_run: Option<bool>,
    /// Position of a token that is left out.
    pub skip_token: Option<u64>,
    /// HTTP status with which every attempt is refused before it runs.
    pub refuse_status: Option<u16>,
    /// Value of `Retry-After` in these refusals.
    pub retry_after: Option<String>,
    /// Each token is preceded by one of the same position that carries the
    /// number of another attempt.
    pub cross_answers: bool,
    /// Number of further reads of cache events at which events are lost: the
    /// retained ones are dropped and a sequence number is skipped.
    pub lose_events: u32,
    /// Factor on the time of prefills and tokens; 0 counts as 1.
    pub slow_factor: u64,
    /// Reason with which every order to load weights is refused.
    pub refuse_loads: Option<String>,
}
