use {
    super::{ClaimBody, ClaimState, StoredReply},
    crate::refusal::{Outcome, Refusal},
};

/// Time after which a caller should retry a request that is still running, in
/// milliseconds.
pub const CLAIMED_RETRY_MS: u64 = 1_000;

/// Time after which a caller may retry a request whose answer is not available,
/// in milliseconds.
const NO_ANSWER_RETRY_MS: u64 = 60_000;

/// Whether the instance that made a claim still runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderLiveness {
    /// It was reported to be running recently.
    Alive,
    /// It was not, or another process has its address.
    Silent,
}

/// Response to a request whose idempotency key is already claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DuplicateResponse {
    /// The stored answer of the claimed request.
    Replay(StoredReply),
    /// A refusal that states the known outcome.
    Refuse(Refusal),
}

/// Returns the response to a request with digest `request` whose idempotency key
/// is already claimed.
///
/// The request never runs again, even if the holder of the claim is silent,
/// because the holder may have sent it.
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
            retry_ms: NO_ANSWER_RETRY_MS,
        },
        ClaimState::Claimed if holder == HolderLiveness::Alive => Refusal::Claimed {
            detail: "This call is running; send it again with the same Idempotency-Key for its answer.",
            outcome: Outcome::Unknown,
            retry_ms: CLAIMED_RETRY_MS,
        },
        ClaimState::Claimed | ClaimState::Unknown => Refusal::Claimed {
            detail: "This call was claimed and its answer was lost; ask the service whether it ran before sending it with a new Idempotency-Key.",
            outcome: Outcome::Unknown,
            retry_ms: NO_ANSWER_RETRY_MS,
        },
    };
    DuplicateResponse::Refuse(refusal)
}
