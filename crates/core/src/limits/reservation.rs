/// Tokens of a team that a request has taken and may put back in part.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use = "settle it, or its unused tokens are lost to the team"]
pub struct Reservation {
    /// Team.
    pub team: String,
    /// Tokens taken.
    pub tokens: u64,
    /// Parts in the order in which they were drawn. Each has its own room in
    /// the bucket for what comes back.
    pub(super) parts: Vec<u64>,
}

impl Reservation {
    /// Returns a reservation that has taken nothing yet.
    pub fn empty(team: &str) -> Reservation {
        Reservation {
            team: team.to_owned(),
            tokens: 0,
            parts: Vec::new(),
        }
    }
}
