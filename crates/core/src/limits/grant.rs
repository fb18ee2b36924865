/// What a peer grants of a team's tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Grant {
    /// Tokens granted: all that were asked for, or none.
    pub tokens: u64,
    /// Tokens that are left.
    pub left_tokens: u64,
    /// Number under which unused tokens may come back, once.
    pub id: u64,
}
