use crate::routing::TokenRate;

/// Share of a team's bucket that an instance may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InstanceShare {
    /// Fraction of all instances whose heartbeats are received, this instance
    /// included. The rest of the rate is reserved for instances that may still
    /// be serving on the other side of a partition.
    pub reachable_fraction: f64,
    /// Fraction of the bucket that is this instance's share: part of the bucket
    /// is divided evenly, the rest by the team's demand at each instance.
    pub own_fraction: f64,
    /// Number of instances with demand from the team whose turn comes before
    /// this one.
    pub instances_ahead: usize,
    /// Tokens that the team requests at all instances until they hear of each other's
    /// spending; infinite if reports arrive too rarely for that to be bounded.
    pub unreported_tokens: f64,
}

/// Minimum wait returned to a refused request: one heartbeat period, after
/// which the order of the instances has changed.
const MIN_WAIT_MS: f64 = 200.0;

/// One instance's estimate of a team's token bucket over all instances.
///
/// Spending of other instances is reported one heartbeat late. It is subtracted
/// when the report arrives, below zero if necessary. In the long run no more
/// than the rate is granted; the excess at any moment is at most what is
/// requested within one heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetBucket {
    rate: TokenRate,
    slack: f64,
    level: f64,
    refilled_ms: u64,
}

impl FleetBucket {
    /// Returns an empty bucket. `slack` is the number of tokens by which all
    /// instances together may briefly overdraw it.
    pub fn empty(rate: TokenRate, slack: f64, now_ms: u64) -> FleetBucket {
        FleetBucket {
            rate,
            slack,
            level: 0.0,
            refilled_ms: now_ms,
        }
    }

    /// Returns the estimated tokens in the bucket, negative when overdrawn.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Replaces rate and burst. The level is unchanged until the next refill.
    pub fn set_rate(&mut self, rate: TokenRate) {
        self.rate = rate;
    }

    /// Replaces the level by a peer's estimate.
    pub fn set_level(&mut self, level: f64) {
        self.level = level;
    }

    /// Lowers the level to at most this fraction of the burst.
    pub fn cap_level(&mut self, fraction: f64) {
        self.level = self.level.min(self.rate.burst * fraction);
    }

    /// Subtracts tokens that a peer reported as spent.
    pub fn subtract_peer_spending(&mut self, tokens: f64) {
        self.level -= tokens;
    }

    /// Adds the tokens for the time since the last refill, up to the burst.
    /// Both are scaled by the reachable fraction of the instances.
    pub fn refill(&mut self, share: InstanceShare, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.refilled_ms) as f64 / 1_000.0;
        self.refilled_ms = self.refilled_ms.max(now_ms);
        let refilled = self.rate.per_s * share.reachable_fraction * elapsed_s;
        self.level = (self.level + refilled).min(self.rate.burst * share.reachable_fraction);
    }

    /// Refills the bucket and takes tokens from it, all or none.
    ///
    /// The whole level is available if it covers what all instances may grant until
    /// they hear of it; then nothing can be spent twice. Otherwise, among a hundred
    /// instances, a share of a level that holds dozens of requests covers not one of
    /// them, and a team within its rate is refused for seconds after a start.
    ///
    /// Else, while the bucket is less than half full, an instance may use at most
    /// twice its share of the level; otherwise all instances would spend the
    /// same few tokens within one heartbeat. At half full or more, the whole
    /// level is available to as many instances as level and slack hold requests
    /// of this size, in an order that changes with the spending. Without that
    /// order, 20 instances that a team addressed at once granted 20 requests
    /// from a burst of four, and the team was refused for 20 seconds afterwards.
    ///
    /// A request larger than the burst is granted once the bucket is 95 % full,
    /// and leaves a debt; otherwise it would never be granted.
    ///
    /// # Errors
    ///
    /// Returns the estimated wait in milliseconds if the tokens are not
    /// available.
    pub fn take(&mut self, tokens: f64, share: InstanceShare, now_ms: u64) -> Result<(), u64> {
        self.refill(share, now_ms);
        let capacity = self.rate.burst * share.reachable_fraction;
        let half = capacity / 2.0;
        let required = tokens.min(capacity * 0.95);
        let available_fraction = (2.0 * share.own_fraction).min(1.0);
        let is_in_turn =
            (share.instances_ahead as f64) < (self.level + self.slack) / required.max(1.0);
        let covers_all = share.unreported_tokens + required <= self.level;
        let available = if covers_all || (self.level >= half && is_in_turn) {
            self.level
        } else {
            self.level * available_fraction
        };
        if available >= required {
            self.level -= tokens;
            return Ok(());
        }
        let target_level = (required / available_fraction.max(0.01)).min(required.max(half));
        let per_ms = (self.rate.per_s * share.reachable_fraction / 1_000.0).max(1e-9);
        Err(((target_level - self.level) / per_ms).clamp(MIN_WAIT_MS, 60_000.0) as u64)
    }

    /// Adds back the tokens of a request that did not run, up to the burst.
    pub fn refund(&mut self, tokens: f64) {
        self.level = (self.level + tokens).min(self.rate.burst);
    }
}
