use {
    super::{Breaker, BreakerSettings, ConcurrencyLimit, LimitSettings, StallDetector},
    crate::attempt::{End, EndedAttempt},
};

/// All that one instance knows of one upstream through its own attempts.
///
/// The limit holds for attempts that wait for their first token. Those that
/// stream already are part of the engine's batch, stay there for tens of
/// seconds and slow the first token of others only through the engine's own
/// queue, which the waiting ones show. Counting them too would refuse work to
/// healthy engines that hold many long streams.
#[derive(Debug, Clone, PartialEq)]
pub struct Health {
    limit: ConcurrencyLimit,
    breaker: Breaker,
    stall_detector: StallDetector,
    waiting: u32,
}

impl Default for Health {
    fn default() -> Health {
        Health {
            limit: ConcurrencyLimit::new(LimitSettings::default()),
            breaker: Breaker::new(BreakerSettings::default()),
            stall_detector: StallDetector::default(),
            waiting: 0,
        }
    }
}

impl Health {
    /// Returns whether it may get one more attempt within its limit.
    pub fn usable(&self, now_ms: u64) -> bool {
        self.breaker.allows(now_ms)
            && self.waiting < self.limit.attempts()
            && !self.stall_detector.is_stalled(now_ms)
    }

    /// Returns whether it has fallen silent to all of its streams.
    pub fn is_stalled(&self, now_ms: u64) -> bool {
        self.stall_detector.is_stalled(now_ms)
    }

    /// Notes a token.
    pub fn record_token(&mut self, now_ms: u64) {
        self.stall_detector.record_token(now_ms);
    }

    /// Notes that a stream listened and heard nothing.
    pub fn record_silence(&mut self, now_ms: u64) {
        self.stall_detector.record_silence(now_ms);
    }

    /// Returns whether its breaker lets an attempt through.
    pub fn allows(&self, now_ms: u64) -> bool {
        self.breaker.allows(now_ms)
    }

    /// Returns when its breaker lets the next attempt through.
    pub fn wait_ms(&self, now_ms: u64) -> u64 {
        self.breaker.wait_ms(now_ms)
    }

    /// Returns how many more attempts may wait there.
    pub fn free(&self) -> u32 {
        self.limit.attempts().saturating_sub(self.waiting)
    }

    /// Returns how many attempts may wait there at once.
    pub fn limit(&self) -> u32 {
        self.limit.attempts()
    }

    /// Returns the smoothed time to first token.
    pub fn recent_ms(&self) -> Option<f64> {
        self.limit.recent_ms()
    }

    /// Counts an attempt, unless the breaker holds it back.
    pub fn start(&mut self, now_ms: u64) -> bool {
        if !self.breaker.try_enter(now_ms) {
            return false;
        }
        self.waiting += 1;
        true
    }

    /// Takes the time to first token of an attempt that goes on.
    pub fn first_token(&mut self, took_ms: u64, peers_ms: Option<f64>, now_ms: u64) {
        self.breaker.succeeded();
        self.stall_detector.record_token(now_ms);
        self.limit
            .first_token(took_ms, self.waiting, peers_ms, now_ms);
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Takes back a waiting attempt whose end is not known.
    pub fn cancel_waiting(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Takes the end of an attempt.
    pub fn end(&mut self, ended: &EndedAttempt, now_ms: u64) {
        if ended.first_token_ms().is_none() {
            self.waiting = self.waiting.saturating_sub(1);
        }
        if ended.is_failure() {
            self.breaker.failed(now_ms);
            self.limit.failed(now_ms);
        } else if ended.end() == End::Complete {
            self.breaker.succeeded();
        } else if ended.first_token_ms().is_none() {
            self.breaker.inconclusive(now_ms);
        }
    }
}
