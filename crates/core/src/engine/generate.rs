use serde::{Deserialize, Serialize};

/// One message of a conversation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Author: `system`, `user` or `assistant`.
    pub role: String,
    /// Text.
    pub content: String,
}

/// A request to generate, `POST /generate` on the engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Identity of the caller's request over all its attempts.
    pub request_id: String,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Salt of the cache: blocks are shared only within one salt.
    pub cache_salt: String,
    /// Model.
    pub model: String,
    /// Weights version that must serve the request.
    pub version: String,
    /// Incarnation of the engine that the router chose.
    pub incarnation: u64,
    /// Prompt as text, after the chat template.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Tokens that the caller already has; the engine goes on behind them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub generated: Vec<String>,
    /// Priority: 0 is served first, 9 last.
    pub priority: u8,
}

/// Token counts of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that the engine found in its cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
}

/// One event of the engine's stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GenerateEvent {
    /// Identity of the request that the event answers.
    pub request_id: String,
    /// Attempt that the event answers.
    pub attempt: u32,
    /// What happened.
    #[serde(flatten)]
    pub payload: GeneratePayload,
}

/// What an event of the stream carries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum GeneratePayload {
    /// One token.
    Token {
        /// Position in the answer, from 0, resumed tokens counted.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// The answer is complete.
    Done {
        /// `stop` or `length`.
        finish_reason: String,
        /// Weights version that served the request.
        version: String,
        /// Incarnation of the engine that served the request.
        incarnation: u64,
        /// Token counts.
        usage: Usage,
    },
    /// The engine refused or failed.
    Failed {
        /// Why, for logs.
        reason: String,
        /// Whether the engine states that nothing ran.
        not_run: bool,
    },
}
