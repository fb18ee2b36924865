use super::FollowedKind;

/// Part of the time within which a change must apply that may pass between two answers with
/// current state.
const INTERVAL_PART: f64 = 0.45;

/// Part of that time after which what is known counts as unconfirmed. It exceeds
/// [`INTERVAL_PART`] by the time that a slow answer or a lost datagram takes.
const MAX_AGE_PART: f64 = 0.6;

/// Part of that time over which the reads of all instances are spread once nobody has
/// confirmed what they know.
const SPREAD_PART: f64 = 0.1;

/// How long what is known of one kind counts as confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfirmationBound {
    /// Time between two answers with current state to an instance on which others rely.
    pub interval_ms: u64,
    /// Age from which on an instance reads current state itself.
    pub max_age_ms: u64,
    /// Time over which the instances that have to do so are spread.
    pub spread_ms: u64,
}

impl ConfirmationBound {
    /// Returns the bound for changes that must apply at all instances within `apply_ms`.
    ///
    /// A change may be acknowledged just after the last confirmation. An instance begins to
    /// read after `max_age_ms + spread_ms`, 0.7 of `apply_ms`. What is left covers one attempt
    /// that fails to connect, the delay after it, and an answer: with 2,000 ms there are
    /// 600 ms for 400 ms, 150 ms and a few milliseconds.
    pub fn within(apply_ms: u64) -> ConfirmationBound {
        let part_ms = |part: f64| (apply_ms as f64 * part) as u64;
        ConfirmationBound {
            interval_ms: part_ms(INTERVAL_PART),
            max_age_ms: part_ms(MAX_AGE_PART),
            spread_ms: part_ms(SPREAD_PART),
        }
    }
}

/// How long what an instance knows of the store counts as confirmed, by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfirmationSettings {
    /// Bound for the configuration.
    pub configuration: ConfirmationBound,
    /// Bound for engines that leave.
    pub engines: ConfirmationBound,
    /// Bound for newly published weights.
    pub weights: ConfirmationBound,
}

impl ConfirmationSettings {
    /// Returns the bound for a kind.
    pub fn bound(&self, kind: FollowedKind) -> &ConfirmationBound {
        match kind {
            FollowedKind::Configuration => &self.configuration,
            FollowedKind::Engines => &self.engines,
            FollowedKind::Weights => &self.weights,
        }
    }

    /// Returns the time between two answers with current state that suits all kinds.
    pub fn interval_ms(&self) -> u64 {
        let bounds = FollowedKind::ALL.map(|kind| self.bound(kind).interval_ms);
        bounds.into_iter().fold(u64::MAX, u64::min)
    }
}

impl Default for ConfirmationSettings {
    fn default() -> ConfirmationSettings {
        ConfirmationSettings {
            configuration: ConfirmationBound::within(2_000),
            engines: ConfirmationBound::within(2_000),
            weights: ConfirmationBound::within(8_000),
        }
    }
}

/// Returns the time as of which an answer with current state holds, for a call that was made
/// at `asked_ms` and asked the store to wait up to `wait_ms` for changes.
///
/// Without a change the store has answered at the end of the wait. With one, or if it came
/// sooner, all that is known is that it was given after the call.
pub fn as_of_ms(asked_ms: u64, wait_ms: u64, has_changes: bool, answered_ms: u64) -> u64 {
    let waited_ms = asked_ms + wait_ms;
    match has_changes || answered_ms < waited_ms {
        true => asked_ms,
        false => waited_ms,
    }
}
