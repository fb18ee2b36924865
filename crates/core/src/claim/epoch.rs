use serde::{Deserialize, Serialize};

/// Minimum duration of an epoch, in milliseconds.
pub const MIN_EPOCH_MS: u64 = 600_000;

/// Number of epochs for which a claim is kept, at least 25 hours. A caller that
/// retries later has its call run again.
pub const CLAIM_RETENTION_EPOCHS: u64 = 150;

/// Time after the last read or write during which an epoch counts as current, in
/// milliseconds.
const MAX_EPOCH_AGE_MS: u64 = 1_800_000;

/// Body of the epoch object on the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochBody {
    /// Schema version of the object.
    pub schema: u32,
    /// Number of the epoch; rises by one with each epoch.
    pub number: u64,
}

/// Tracks the shared epoch, a logical clock by which claims expire.
///
/// A claim is deleted a day after it was made, but possibly no instance runs for
/// a whole day, and wall clocks are not trusted: a clock that is a day ahead would
/// delete claims made a minute ago. Therefore any instance that has observed an
/// epoch for [`MIN_EPOCH_MS`] writes the next one, on the condition that the
/// object is unchanged. 150 epochs take at least 25 hours, whichever instances
/// write them.
#[derive(Debug, Clone, Default)]
pub struct EpochTracker {
    observed: Option<ObservedEpoch>,
}

#[derive(Debug, Clone, Copy)]
struct ObservedEpoch {
    version: u64,
    number: u64,
    first_seen_ms: u64,
    last_seen_ms: u64,
}

impl EpochTracker {
    /// Records the version and body of the epoch object, read or written at
    /// `now_ms`.
    pub fn observe(&mut self, version: u64, body: EpochBody, now_ms: u64) {
        let first_seen_ms = match &self.observed {
            Some(observed) if observed.version == version => observed.first_seen_ms,
            _ => now_ms,
        };
        self.observed = Some(ObservedEpoch {
            version,
            number: body.number,
            first_seen_ms,
            last_seen_ms: now_ms,
        });
    }

    /// Returns the next epoch and the object version that it replaces, if the
    /// current epoch has been observed for its minimum duration.
    pub fn next_epoch(&self, now_ms: u64) -> Option<(u64, EpochBody)> {
        let observed = self.observed?;
        let lasted = now_ms.saturating_sub(observed.first_seen_ms) >= MIN_EPOCH_MS;
        let body = EpochBody {
            schema: 1,
            number: observed.number + 1,
        };
        lasted.then_some((observed.version, body))
    }

    /// Returns the current epoch; `None` if it was not read recently.
    pub fn current_epoch(&self, now_ms: u64) -> Option<u64> {
        let observed = self.observed?;
        let fresh = now_ms.saturating_sub(observed.last_seen_ms) < MAX_EPOCH_AGE_MS;
        fresh.then_some(observed.number)
    }

    /// Returns whether a claim made in `claim_epoch` may be deleted; never for
    /// `None`.
    pub fn is_expired(&self, claim_epoch: Option<u64>) -> bool {
        let (Some(observed), Some(epoch)) = (self.observed, claim_epoch) else {
            return false;
        };
        observed.number > epoch.saturating_add(CLAIM_RETENTION_EPOCHS)
    }
}
