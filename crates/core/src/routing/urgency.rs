/// Number of route priorities that are distinguished within one team priority.
const ROUTE_RANKS: u8 = 2;

/// Maximum rank; it goes last in an engine's queue.
const MAX_RANK: u8 = 9;

/// Returns the rank of a request in an engine's queue; 0 goes first. The team's priority comes
/// first, and the route's decides between requests of equal team priority.
pub fn urgency(team_priority: Option<u8>, route_priority: u8) -> u8 {
    let rank = team_priority.map_or(route_priority, |team| {
        team.saturating_mul(ROUTE_RANKS)
            .saturating_add(route_priority.min(ROUTE_RANKS - 1))
    });
    rank.min(MAX_RANK)
}

/// The most urgent requests that a service gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MostUrgent {
    /// Their rank; see [`urgency`].
    pub urgency: u8,
    /// Smallest target of the routes that bring them, in milliseconds.
    pub target_ms: u64,
}
