use serde::{Deserialize, Serialize};

/// A request for the decision that an instance would make, `POST /explain`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainRequest {
    /// Name of the team.
    pub team: String,
    /// Name of the model.
    pub model: String,
    /// Text of the prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
}

/// The decision that the instance would make now. Nothing is charged or sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainReply {
    /// Name of the engine that would get the request; `None` if the request
    /// would be refused.
    pub engine: Option<String>,
    /// Error message for the caller, if the request would be refused.
    pub refusal: Option<String>,
    /// Steps of the decision in order, one sentence each.
    pub steps: Vec<String>,
    /// Engines of the model.
    pub candidates: Vec<Candidate>,
}

/// An engine that was considered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Name of the engine's record.
    pub engine: String,
    /// Whether the engine could take the request now.
    pub usable: bool,
    /// Reason, in one sentence.
    pub reason: String,
}
