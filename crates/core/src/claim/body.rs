use {
    super::StoredReply,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Body of the claim object on the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBody {
    /// Schema version of the object.
    pub schema: u32,
    /// Caller address of the instance that made the claim.
    pub holder: SocketAddr,
    /// Incarnation of that instance, a number drawn at its start.
    pub incarnation: u64,
    /// Random number of this claim. After a lost reply it shows whether the
    /// stored claim is the instance's own.
    pub nonce: u64,
    /// Digest of the claimed request, which detects the reuse of an idempotency
    /// key for a different request.
    pub request: String,
    /// Epoch in which the claim was made; `None` if the instance knew no current
    /// epoch. Such a claim never expires.
    pub epoch: Option<u64>,
    /// Outcome of the request as far as it is known.
    pub state: ClaimState,
}

/// State of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The request is about to be sent, or was sent.
    Claimed,
    /// The request ran, with this answer.
    Ran(StoredReply),
    /// The request ran, and its answer is not stored: too long, or dropped when
    /// memory was short.
    RanTooLong,
    /// The request was sent and its answer was lost.
    Unknown,
}
