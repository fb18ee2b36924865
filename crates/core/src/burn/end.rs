use crate::refusal::{Outcome, Refusal};

/// How a request ended, as counted by the burn report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// Answered completely.
    Complete,
    /// Sent to an upstream and not answered completely.
    Cut,
    /// Abandoned by its caller before the answer was complete.
    Abandoned,
    /// Refused because the caller has to change it.
    Rejected,
    /// Refused because the team's rate was used up.
    OverRate,
    /// Refused for lack of capacity.
    TurnedAway,
}

impl RequestEnd {
    /// Returns how a refused request is counted. `answered` is whether the
    /// caller already received a part of the answer.
    ///
    /// The result depends on what the caller is asked to do: a refusal that
    /// asks to retry is counted against the system, one that asks to change the
    /// request against the caller. Three cases are decided before that: a
    /// request that may have run is [`RequestEnd::Cut`], one over the team's rate
    /// is [`RequestEnd::OverRate`], and one whose idempotency key is already
    /// claimed is [`RequestEnd::Rejected`].
    pub fn from_refusal(refusal: &Refusal, answered: bool) -> RequestEnd {
        if answered {
            return RequestEnd::Cut;
        }
        match refusal {
            Refusal::RateLimited { .. } => RequestEnd::OverRate,
            Refusal::Claimed { .. } => RequestEnd::Rejected,
            _ if refusal.outcome() != Outcome::NotRun => RequestEnd::Cut,
            _ if refusal.retry_ms().is_some() => RequestEnd::TurnedAway,
            _ => RequestEnd::Rejected,
        }
    }
}
