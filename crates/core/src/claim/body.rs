use {
    super::StoredReply,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A claim as the platform holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBody {
    /// Schema number.
    pub schema: u32,
    /// Address of the claimant towards callers.
    pub holder: SocketAddr,
    /// Number that the claimant drew at its start.
    pub incarnation: u64,
    /// Number drawn for this claim. It tells the claimant's own write from
    /// another's when the reply was lost.
    pub nonce: u64,
    /// Digest of the claimed request, to tell it from another one that came
    /// with the same idempotency key.
    pub request: String,
    /// Epoch in which the claim was made; none if the claimant knew none.
    /// Such a claim is never deleted.
    pub epoch: Option<u64>,
    /// What became of the request.
    pub state: ClaimState,
}

/// What became of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// It is about to be sent, or was.
    Claimed,
    /// It ran, and this is the answer.
    Ran(StoredReply),
    /// It ran, and the answer is too long to be kept.
    RanTooLong,
    /// It was sent and its answer was lost.
    Unknown,
}
