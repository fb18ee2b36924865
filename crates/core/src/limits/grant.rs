/// A peer's answer to a request for a team's tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Grant {
    /// Tokens granted: all that were requested, or 0.
    pub tokens: u64,
    /// Tokens left in the peer's bucket.
    pub left_tokens: u64,
    /// Identifies the grant when its unused tokens are refunded, which counts
    /// only once.
    pub id: u64,
}
