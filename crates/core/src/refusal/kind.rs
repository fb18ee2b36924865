use {
    super::Outcome,
    derive_more::{Display, Error},
};

/// Why a request was refused. Each message says what the caller can do.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Refusal {
    /// The request could not be parsed.
    #[display("{detail}")]
    Malformed {
        /// What is wrong and how to correct it.
        detail: String,
    },
    /// The body exceeds the size limit.
    #[display("The body is over {limit_bytes} bytes; send a shorter prompt.")]
    TooLarge {
        /// Maximum size of a body, in bytes.
        limit_bytes: usize,
    },
    /// The body was not received within the timeout.
    #[display("The body did not come within {timeout_ms} ms; send it faster.")]
    TooSlow {
        /// Maximum time to receive the body, in milliseconds.
        timeout_ms: u64,
    },
    /// The key is missing, wrong or withdrawn.
    #[display(
        "The key is missing, wrong or withdrawn; send a valid key as `Authorization: Bearer`."
    )]
    Unauthorized,
    /// The model or service is not offered.
    #[display("{what} {name:?} is not offered; GET /v1/models lists what is.")]
    NotFound {
        /// `Model` or `Service`.
        what: &'static str,
        /// Requested name.
        name: String,
    },
    /// The path or method does not exist.
    #[display("No such path; see docs/api.md for the paths.")]
    NoSuchPath,
    /// The team has used up its rate and burst.
    #[display("The team's rate is used up; try again in {retry_ms} ms.")]
    RateLimited {
        /// Time until enough tokens are available, in milliseconds.
        retry_ms: u64,
    },
    /// The request needs more tokens than the team's burst, so it can never be
    /// admitted.
    #[display(
        "The request reserves {reserve_tokens} tokens, over the burst of {burst_tokens}; lower max_tokens or shorten the prompt."
    )]
    OverBurst {
        /// Tokens that the request would reserve.
        reserve_tokens: u64,
        /// Burst of the team, in tokens.
        burst_tokens: u64,
    },
    /// Every upstream is full, or there is none.
    #[display("{reason}; try again in {retry_ms} ms.")]
    Unavailable {
        /// What is full or missing, as the start of a sentence.
        reason: &'static str,
        /// Time after which the caller should retry, in milliseconds.
        retry_ms: u64,
    },
    /// The request crashed several upstreams.
    #[display(
        "This request crashed {crashes} upstreams and is not run again; change it before sending it anew."
    )]
    Poisonous {
        /// Number of upstreams that crashed while they ran the request.
        crashes: usize,
        /// What is known of the outcome of this request.
        outcome: Outcome,
    },
    /// Another request with the same idempotency key is running or has run.
    #[display("{detail}")]
    Claimed {
        /// What is known of the other request.
        detail: &'static str,
        /// What is known of the outcome.
        outcome: Outcome,
        /// Time after which the caller should retry, in milliseconds.
        retry_ms: u64,
    },
    /// The idempotency key was used with a different request before.
    #[display(
        "This Idempotency-Key was used for another request; send each request with a key of its own."
    )]
    KeyReused,
    /// The request was sent to an upstream and the answer was lost.
    #[display("The answer was lost after the request was sent; {remedy}.")]
    Lost {
        /// What the caller can do.
        remedy: &'static str,
        /// What is known of the outcome.
        outcome: Outcome,
    },
}

impl Refusal {
    /// Returns the HTTP status code.
    pub fn status(&self) -> u16 {
        match self {
            Refusal::Malformed { .. } | Refusal::OverBurst { .. } => 400,
            Refusal::TooLarge { .. } => 413,
            Refusal::TooSlow { .. } => 408,
            Refusal::Unauthorized => 401,
            Refusal::NotFound { .. } | Refusal::NoSuchPath => 404,
            Refusal::RateLimited { .. } => 429,
            Refusal::Poisonous { .. } | Refusal::KeyReused => 422,
            Refusal::Claimed { .. } => 409,
            Refusal::Unavailable { .. } => 503,
            Refusal::Lost { .. } => 502,
        }
    }

    /// Returns the `code` field of the error body.
    pub fn code(&self) -> &'static str {
        match self {
            Refusal::Malformed { .. } => "invalid_request",
            Refusal::OverBurst { .. } => "over_burst",
            Refusal::TooLarge { .. } => "body_too_large",
            Refusal::TooSlow { .. } => "body_too_slow",
            Refusal::Unauthorized => "invalid_api_key",
            Refusal::NotFound { .. } => "model_not_found",
            Refusal::NoSuchPath => "unknown_path",
            Refusal::RateLimited { .. } => "rate_limit_exceeded",
            Refusal::Poisonous { .. } => "request_crashed_upstreams",
            Refusal::Claimed { .. } => "idempotency_conflict",
            Refusal::KeyReused => "idempotency_key_reused",
            Refusal::Unavailable { .. } => "unavailable",
            Refusal::Lost { .. } => "answer_lost",
        }
    }

    /// Returns the `type` field of the error body.
    pub fn error_type(&self) -> &'static str {
        match self.status() {
            401 => "authentication_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        }
    }

    /// Returns what is known of the request's outcome.
    pub fn outcome(&self) -> Outcome {
        match self {
            Refusal::Claimed { outcome, .. }
            | Refusal::Lost { outcome, .. }
            | Refusal::Poisonous { outcome, .. } => *outcome,
            _ => Outcome::NotRun,
        }
    }

    /// Returns the time after which the caller should retry, in milliseconds;
    /// `None` if a retry does not help.
    pub fn retry_ms(&self) -> Option<u64> {
        match self {
            Refusal::RateLimited { retry_ms }
            | Refusal::Unavailable { retry_ms, .. }
            | Refusal::Claimed { retry_ms, .. } => Some(*retry_ms),
            _ => None,
        }
    }
}
