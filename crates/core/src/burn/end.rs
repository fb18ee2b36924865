use crate::refusal::{Outcome, Refusal};

/// How a request ended, as the burn report counts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Answered completely.
    Complete,
    /// Sent to an upstream, and not answered completely.
    Cut,
    /// Left by its caller before the answer was complete.
    Abandoned,
    /// Refused because the caller has to change it.
    Rejected,
    /// Refused because the team's rate was used up.
    OverRate,
    /// Refused for want of capacity.
    TurnedAway,
}

impl End {
    /// Returns the end of a request that was refused, once `answered` tells
    /// whether the caller had a part of the answer already.
    ///
    /// It goes by what the caller sees: a refusal that says "come back" is the
    /// system's, one that says "change it" is the caller's.
    pub fn from_refusal(refusal: &Refusal, answered: bool) -> End {
        if answered {
            return End::Cut;
        }
        match refusal {
            Refusal::RateLimited { .. } => End::OverRate,
            Refusal::Claimed { .. } => End::Rejected,
            _ if refusal.outcome() != Outcome::NotRun => End::Cut,
            _ if refusal.retry_ms().is_some() => End::TurnedAway,
            _ => End::Rejected,
        }
    }
}
