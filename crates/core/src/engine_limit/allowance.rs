use super::EngineLimitSettings;

/// Position of an instance in an order of all known ones, live or silent, which is another
/// one for each engine and the same at all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Number of instances before this one.
    pub rank: usize,
    /// Number of all instances.
    pub instances: usize,
}

/// Requests that this instance may send to one engine.
///
/// Only the first instances of the engine's order send to it, so few that each gets a
/// request within a turn. The parts of all are the limit, whoever is cut off from whom.
/// An instance begins with nothing: what others sent before isn't known.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Allowance {
    requests: f64,
    updated_ms: u64,
    position: Option<(Position, u64)>,
}

impl Allowance {
    pub(super) fn new(now_ms: u64) -> Allowance {
        Allowance {
            updated_ms: now_ms,
            ..Allowance::default()
        }
    }

    /// Returns whether a request may be sent now. `locate` computes the position of this
    /// instance, or `None` while it doesn't know the others.
    pub(super) fn admits(
        &mut self,
        limit_per_s: f64,
        settings: &EngineLimitSettings,
        locate: impl FnOnce() -> Option<Position>,
        now_ms: u64,
    ) -> bool {
        self.refill(limit_per_s, settings, locate, now_ms);
        self.requests >= 1.0
    }

    pub(super) fn take(&mut self) {
        self.requests -= 1.0;
    }

    /// Returns whether this instance is the first of the engine's order.
    pub(super) fn is_first(&self) -> bool {
        self.position
            .is_some_and(|(position, _)| position.rank == 0)
    }

    fn refill(
        &mut self,
        limit_per_s: f64,
        settings: &EngineLimitSettings,
        locate: impl FnOnce() -> Option<Position>,
        now_ms: u64,
    ) {
        let known = self.position.filter(|&(_, until_ms)| now_ms < until_ms);
        let position = known.map(|(position, _)| position).or_else(locate);
        let until_ms = known.map_or(now_ms + settings.position_valid_ms, |(_, until_ms)| {
            until_ms
        });
        self.position = position.map(|position| (position, until_ms));
        let part_per_s = match position {
            Some(position) => part_per_s(limit_per_s.max(settings.min_per_s), position, settings),
            None => limit_per_s * settings.unknown_fraction,
        };
        let elapsed_s = now_ms.saturating_sub(self.updated_ms) as f64 / 1_000.0;
        self.updated_ms = self.updated_ms.max(now_ms);
        let capacity = match part_per_s > 0.0 {
            true => (part_per_s * settings.burst_ms as f64 / 1_000.0).max(1.0),
            false => 0.0,
        };
        self.requests = (self.requests + part_per_s * elapsed_s).min(capacity);
    }
}

/// Returns the part of a limit that the instance at a position has.
fn part_per_s(limit_per_s: f64, position: Position, settings: &EngineLimitSettings) -> f64 {
    let per_turn = limit_per_s * settings.turn_ms as f64 / 1_000.0;
    // The cast saturates where the limit is huge.
    let senders = (per_turn as usize).clamp(1, position.instances.max(1));
    match position.rank < senders {
        true => limit_per_s / senders as f64,
        false => 0.0,
    }
}
