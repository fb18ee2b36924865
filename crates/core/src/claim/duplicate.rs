use {
    super::{ClaimBody, ClaimState, StoredReply},
    crate::refusal::{Outcome, Refusal},
};

/// When a caller should ask again for a request that runs elsewhere.
pub const CLAIMED_RETRY_MS: u64 = 1_000;

/// When a caller may ask again for a request whose outcome no one knows.
const UNKNOWN_RETRY_MS: u64 = 60_000;

/// What is known of a claim's holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderLiveness {
    /// It was heard of a moment ago.
    Alive,
    /// It was not, or another process has its address.
    Silent,
}

/// What a caller gets whose request is claimed already.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DuplicateResponse {
    /// The answer of the run.
    Replay(StoredReply),
    /// A refusal that says what is known.
    Refuse(Refusal),
}

/// Decides what a caller gets whose request, of the given digest, meets a
/// claim. It never runs again, whoever holds the claim: a silent holder may
/// have sent it.
pub fn duplicate_response(
    claim: &ClaimBody,
    request: &str,
    holder: HolderLiveness,
) -> DuplicateResponse {
    if claim.request != request {
        return DuplicateResponse::Refuse(Refusal::KeyReused);
    }
    let refusal = match &claim.state {
        ClaimState::Ran(reply) => return DuplicateResponse::Replay(reply.clone()),
        ClaimState::RanTooLong => Refusal::Claimed {
            detail: "This call ran, and its answer is too long to be kept; ask the service for it.",
            outcome: Outcome::Ran,
            retry_ms: UNKNOWN_RETRY_MS,
        },
        ClaimState::Claimed if holder == HolderLiveness::Alive => Refusal::Claimed {
            detail: "This call is running; send it again with the same Idempotency-Key for its answer.",
            outcome: Outcome::Unknown,
            retry_ms: CLAIMED_RETRY_MS,
        },
        ClaimState::Claimed | ClaimState::Unknown => Refusal::Claimed {
            detail: "This call was claimed and its answer was lost; ask the service whether it ran before sending it with a new Idempotency-Key.",
            outcome: Outcome::Unknown,
            retry_ms: UNKNOWN_RETRY_MS,
        },
    };
    DuplicateResponse::Refuse(refusal)
}
