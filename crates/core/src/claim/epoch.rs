use serde::{Deserialize, Serialize};

/// Least time that one epoch takes.
pub const MIN_EPOCH_MS: u64 = 600_000;

/// Epochs for which a claim is kept: 25 hours at least. A caller that sends
/// again later than that is served anew.
pub const CLAIM_RETENTION_EPOCHS: u64 = 150;

/// Time for which an epoch that was read counts as the present one.
const READ_COUNTS_MS: u64 = 1_800_000;

/// The epoch as the platform holds it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochBody {
    /// Schema number.
    pub schema: u32,
    /// Number of the epoch.
    pub number: u64,
}

/// A count of epochs that all instances share, and no clock.
///
/// A claim is deleted a day after it was made, but no instance may live a
/// day, and wall clocks are not trusted: one a day ahead would delete claims
/// of the same minute. So any instance that has itself watched an epoch for
/// [`MIN_EPOCH_MS`] writes the next one, on condition that it is still the same.
/// A hundred and fifty epochs took 25 hours, whoever wrote them.
#[derive(Debug, Clone, Default)]
pub struct EpochTracker {
    seen: Option<Seen>,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    version: u64,
    number: u64,
    first_ms: u64,
    last_ms: u64,
}

impl EpochTracker {
    /// Notes what the platform holds, read or written by `now_ms`.
    pub fn observe(&mut self, version: u64, body: EpochBody, now_ms: u64) {
        let first_ms = match &self.seen {
            Some(seen) if seen.version == version => seen.first_ms,
            _ => now_ms,
        };
        self.seen = Some(Seen {
            version,
            number: body.number,
            first_ms,
            last_ms: now_ms,
        });
    }

    /// Returns the version to write over and the next epoch, if this one has
    /// lasted.
    pub fn next_epoch(&self, now_ms: u64) -> Option<(u64, EpochBody)> {
        let seen = self.seen?;
        let lasted = now_ms.saturating_sub(seen.first_ms) >= MIN_EPOCH_MS;
        let body = EpochBody {
            schema: 1,
            number: seen.number + 1,
        };
        lasted.then_some((seen.version, body))
    }

    /// Returns the present epoch, if it was read lately.
    pub fn current_epoch(&self, now_ms: u64) -> Option<u64> {
        let seen = self.seen?;
        let fresh = now_ms.saturating_sub(seen.last_ms) < READ_COUNTS_MS;
        fresh.then_some(seen.number)
    }

    /// Returns whether a claim of an epoch may be deleted.
    pub fn is_expired(&self, claim_epoch: Option<u64>) -> bool {
        let (Some(seen), Some(epoch)) = (self.seen, claim_epoch) else {
            return false;
        };
        seen.number > epoch.saturating_add(CLAIM_RETENTION_EPOCHS)
    }
}
