use serde::{Deserialize, Serialize};

/// How an engine fails.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Each attempt crashes the engine once it wrote this many tokens.
    pub crash_after_tokens: Option<u64>,
    /// A prompt that holds this text crashes the engine.
    pub crash_on: Option<String>,
    /// Every attempt stops after this many tokens and says nothing more.
    pub freeze_after_tokens: Option<u64>,
    /// Each token is longer by so many bytes.
    pub pad_bytes: usize,
    /// Every attempt says nothing from now on.
    pub stall: bool,
    /// Every attempt ends after this many tokens as if it were complete, with
    /// no final event.
    pub cut_after_tokens: Option<u64>,
    /// Every attempt fails with an event before its first token, and states
    /// whether nothing ran.
    pub fail_not_run: Option<bool>,
    /// The token at this position is left out.
    pub skip_token: Option<u64>,
    /// Every attempt is refused with this status before it runs.
    pub refuse_status: Option<u16>,
    /// Before each token comes a foreign one, with the same position and the
    /// number of another attempt.
    pub cross_answers: bool,
    /// This many cache events are lost out of the next ones.
    pub lose_events: u32,
    /// Time between two tokens is multiplied by this, 0 counts as 1.
    pub slow_factor: u64,
    /// Every load of weights is refused with this reason.
    pub refuse_loads: Option<String>,
}
