use serde::{Deserialize, Serialize};

/// Asks what an instance would do with a request, `POST /explain`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainRequest {
    /// Team.
    pub team: String,
    /// Model.
    pub model: String,
    /// Prompt, as text.
    pub prompt: String,
    /// Most tokens of the answer.
    pub max_tokens: u32,
}

/// What the instance would do now. Nothing is spent or sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainReply {
    /// Engine that the request would go to, none if it would be refused.
    pub engine: Option<String>,
    /// What the caller would be told, if it would be refused.
    pub refusal: Option<String>,
    /// What was looked at, in order, one sentence each.
    pub steps: Vec<String>,
    /// Engines of the model.
    pub candidates: Vec<Candidate>,
}

/// An engine that was looked at.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Name of the record.
    pub engine: String,
    /// Whether it could take the request now.
    pub usable: bool,
    /// Why, in one sentence.
    pub reason: String,
}
