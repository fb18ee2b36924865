use {
    super::{Breaker, BreakerSettings, ConcurrencyLimit, LimitSettings, StallDetector},
    crate::{
        attempt::{AttemptEnd, EndedAttempt},
        edge::SendError,
    },
};

/// State of one upstream as one instance observes it through its own attempts.
///
/// The concurrency limit applies only to attempts that wait for their first
/// token. Attempts that already stream are part of the engine's batch for tens
/// of seconds. They delay the first token of others only through the engine's
/// queue, which the waiting attempts already reflect. Counting them too would
/// refuse work to healthy engines that run many long streams.
#[derive(Debug, Clone, PartialEq)]
pub struct Health {
    limit: ConcurrencyLimit,
    breaker: Breaker,
    stall_detector: StallDetector,
    waiting: u32,
    /// End of the rest that the upstream has asked for.
    rests_until_ms: u64,
}

impl Default for Health {
    fn default() -> Health {
        Health {
            limit: ConcurrencyLimit::new(LimitSettings::default()),
            breaker: Breaker::new(BreakerSettings::default()),
            stall_detector: StallDetector::default(),
            waiting: 0,
            rests_until_ms: 0,
        }
    }
}

impl Health {
    /// Returns whether one more attempt may be sent: the breaker allows it, the
    /// limit is not reached and the upstream is not stalled.
    pub fn usable(&self, now_ms: u64) -> bool {
        self.allows(now_ms)
            && self.waiting < self.limit.attempts()
            && !self.stall_detector.is_stalled(now_ms)
    }

    /// Returns whether the upstream is stalled, see [`StallDetector`].
    pub fn is_stalled(&self, now_ms: u64) -> bool {
        self.stall_detector.is_stalled(now_ms)
    }

    /// Records a token of any stream.
    pub fn record_token(&mut self, now_ms: u64) {
        self.stall_detector.record_token(now_ms);
    }

    /// Records that a stream was read and no token arrived.
    pub fn record_silence(&mut self, now_ms: u64) {
        self.stall_detector.record_silence(now_ms);
    }

    /// Returns whether the breaker would let an attempt through, and the upstream doesn't
    /// rest.
    pub fn allows(&self, now_ms: u64) -> bool {
        !self.rests(now_ms) && self.breaker.allows(now_ms)
    }

    /// Returns the time until the next attempt is let through, in milliseconds; 0 if one is
    /// allowed now.
    pub fn wait_ms(&self, now_ms: u64) -> u64 {
        let rest_ms = self.rests_until_ms.saturating_sub(now_ms);
        self.breaker.wait_ms(now_ms).max(rest_ms)
    }

    /// Records that the upstream wants no attempts of this instance for a while. A rest that
    /// ends later stays.
    pub fn record_rest(&mut self, rest_ms: u64, now_ms: u64) {
        let until_ms = now_ms.saturating_add(rest_ms);
        self.rests_until_ms = self.rests_until_ms.max(until_ms);
    }

    /// Returns whether the upstream has asked for rest that isn't over.
    pub fn rests(&self, now_ms: u64) -> bool {
        now_ms < self.rests_until_ms
    }

    /// Returns how many more attempts may wait for their first token.
    pub fn free(&self) -> u32 {
        self.limit.attempts().saturating_sub(self.waiting)
    }

    /// Returns the maximum number of attempts that may wait for their first
    /// token at once.
    pub fn limit(&self) -> u32 {
        self.limit.attempts()
    }

    /// Returns the smoothed time to first token of recent answers, in
    /// milliseconds; `None` before the first answer.
    pub fn recent_ms(&self) -> Option<f64> {
        self.limit.recent_ms()
    }

    /// Counts a waiting attempt and returns true, or returns false if the
    /// breaker holds it back or the upstream rests.
    pub fn start(&mut self, now_ms: u64) -> bool {
        if self.rests(now_ms) || !self.breaker.try_enter(now_ms) {
            return false;
        }
        self.waiting += 1;
        true
    }

    /// Records the first token of an attempt that continues. `peers_ms` is the
    /// median recent time to first token of the other upstreams that serve the
    /// same model or service, in milliseconds.
    pub fn first_token(&mut self, took_ms: u64, peers_ms: Option<f64>, now_ms: u64) {
        self.breaker.record_success();
        self.stall_detector.record_token(now_ms);
        self.limit
            .first_token(took_ms, self.waiting, peers_ms, now_ms);
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Stops counting a waiting attempt whose result is unknown.
    pub fn cancel_waiting(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Records the end of an attempt.
    pub fn end(&mut self, ended: &EndedAttempt, now_ms: u64) {
        if ended.first_token_ms().is_none() {
            self.waiting = self.waiting.saturating_sub(1);
        }
        if let AttemptEnd::Send(SendError::Refused { rest_ms, .. }) = ended.end() {
            self.record_rest(rest_ms, now_ms);
        }
        if ended.is_failure() {
            self.breaker.record_failure(now_ms);
            self.limit.failed(now_ms);
        } else if ended.end() == AttemptEnd::Complete {
            self.breaker.record_success();
        } else if ended.first_token_ms().is_none() {
            self.breaker.inconclusive(now_ms);
        }
    }
}
