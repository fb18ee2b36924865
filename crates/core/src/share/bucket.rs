use crate::routing::TokenRate;

/// Where an instance stands among all that serve.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InstanceShare {
    /// Part of the instances that are heard, this one included. What the
    /// others may spend behind a partition stays set aside for them.
    pub reachable_fraction: f64,
    /// Part of a team's demand that comes to this instance.
    pub demand_fraction: f64,
    /// Instances that are asked by the team too and have their turn before this
    /// one.
    pub instances_ahead: usize,
}

/// Shortest wait of a request whose instance isn't in turn: a heartbeat, after
/// which the turns have changed.
const MIN_WAIT_MS: f64 = 200.0;

/// One instance's estimate of a team's bucket over all instances.
///
/// Spending of others arrives a heartbeat late, and is subtracted then, if
/// need be below zero: over time no more than the rate is granted, and for a
/// moment at most what is asked for within a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetBucket {
    rate: TokenRate,
    slack: f64,
    level: f64,
    refilled_ms: u64,
}

impl FleetBucket {
    /// Returns a bucket that holds nothing yet. All instances together may go
    /// below zero by the slack for a moment.
    pub fn empty(rate: TokenRate, slack: f64, now_ms: u64) -> FleetBucket {
        FleetBucket {
            rate,
            slack,
            level: 0.0,
            refilled_ms: now_ms,
        }
    }

    /// Returns the tokens in the bucket.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Takes over a new rate.
    pub fn set_rate(&mut self, rate: TokenRate) {
        self.rate = rate;
    }

    /// Takes over the level that a peer knows.
    pub fn set_level(&mut self, level: f64) {
        self.level = level;
    }

    /// Lowers the level to a part of the burst.
    pub fn cap_level(&mut self, part: f64) {
        self.level = self.level.min(self.rate.burst * part);
    }

    /// Subtracts what others have spent.
    pub fn subtract_peer_spending(&mut self, tokens: f64) {
        self.level -= tokens;
    }

    /// Lets time pass.
    pub fn refill(&mut self, share: InstanceShare, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.refilled_ms) as f64 / 1_000.0;
        self.refilled_ms = self.refilled_ms.max(now_ms);
        let refilled = self.rate.per_s * share.reachable_fraction * elapsed_s;
        self.level = (self.level + refilled).min(self.rate.burst * share.reachable_fraction);
    }

    /// Takes tokens, or says after how many milliseconds they may be there.
    ///
    /// While the bucket is less than half full, an instance takes only from
    /// its own part of it. Else all would spend the same few tokens within
    /// one heartbeat. Above that, as many instances take at once as there are
    /// requests of this size in the bucket, in turns that change with what is
    /// spent: twenty instances that were asked together by a team with four
    /// requests' burst granted twenty, and refused it for as many seconds.
    ///
    /// A request larger than the bucket goes when the bucket is full, and
    /// leaves a debt; else it could never go.
    ///
    /// # Errors
    ///
    /// Returns the wait where there isn't enough.
    pub fn take(&mut self, tokens: f64, share: InstanceShare, now_ms: u64) -> Result<(), u64> {
        self.refill(share, now_ms);
        let capacity = self.rate.burst * share.reachable_fraction;
        let half = capacity / 2.0;
        let required = tokens.min(capacity * 0.95);
        let part = (2.0 * share.demand_fraction).min(1.0);
        let is_in_turn =
            (share.instances_ahead as f64) < (self.level + self.slack) / required.max(1.0);
        let available = if self.level >= half && is_in_turn {
            self.level
        } else {
            self.level * part
        };
        if available >= required {
            self.level -= tokens;
            return Ok(());
        }
        let target_level = (required / part.max(0.01)).min(required.max(half));
        let per_ms = (self.rate.per_s * share.reachable_fraction / 1_000.0).max(1e-9);
        Err(((target_level - self.level) / per_ms).clamp(MIN_WAIT_MS, 60_000.0) as u64)
    }

    /// Gives back tokens of a request that did not run.
    pub fn refund(&mut self, tokens: f64) {
        self.level = (self.level + tokens).min(self.rate.burst);
    }
}
