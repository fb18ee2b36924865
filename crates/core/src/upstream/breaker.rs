use super::BreakerSettings;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Closed { failures: u32 },
    Open { until_ms: u64, pause_ms: u64 },
    Probing { since_ms: u64, pause_ms: u64 },
}

/// Circuit breaker that stops attempts to an upstream that fails repeatedly.
///
/// Load pattern: an engine is down or answers every request with an error.
/// Without a breaker each request placed there first spends a failed attempt.
/// An engine that fails quickly also looks idle, so placement by load would
/// send it even more requests.
///
/// After the pause a single attempt is let through as a probe. Closing the
/// breaker at once would send every waiting request to an engine that is most
/// likely still down.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breaker {
    settings: BreakerSettings,
    phase: Phase,
}

impl Breaker {
    /// Returns a closed breaker.
    pub fn new(settings: BreakerSettings) -> Breaker {
        Breaker {
            settings,
            phase: Phase::Closed { failures: 0 },
        }
    }

    /// Returns whether [`try_enter`](Breaker::try_enter) would let an attempt
    /// through. Changes nothing.
    pub fn allows(&self, now_ms: u64) -> bool {
        match self.phase {
            Phase::Closed { .. } => true,
            Phase::Open { until_ms, .. } => now_ms >= until_ms,
            Phase::Probing { since_ms, .. } => {
                now_ms.saturating_sub(since_ms) >= self.settings.probe_timeout_ms
            }
        }
    }

    /// Returns the time until the next attempt is let through, in
    /// milliseconds; 0 if one is allowed now.
    pub fn wait_ms(&self, now_ms: u64) -> u64 {
        match self.phase {
            Phase::Closed { .. } => 0,
            Phase::Open { until_ms, .. } => until_ms.saturating_sub(now_ms),
            Phase::Probing { since_ms, .. } => {
                (since_ms + self.settings.probe_timeout_ms).saturating_sub(now_ms)
            }
        }
    }

    /// Returns whether the attempt may be sent. The first attempt after a
    /// pause becomes the probe, and further ones are held back until it ends
    /// or times out.
    pub fn try_enter(&mut self, now_ms: u64) -> bool {
        if !self.allows(now_ms) {
            return false;
        }
        if let Phase::Open { pause_ms, .. } | Phase::Probing { pause_ms, .. } = self.phase {
            self.phase = Phase::Probing {
                since_ms: now_ms,
                pause_ms,
            };
        }
        true
    }

    /// Records a successful attempt and closes the breaker.
    pub fn record_success(&mut self) {
        self.phase = Phase::Closed { failures: 0 };
    }

    /// Records an attempt that gives no information on the upstream, for example
    /// because the caller disconnected. It may have been the probe, so if the
    /// breaker waits for one, the next attempt may probe at once.
    pub fn inconclusive(&mut self, now_ms: u64) {
        if let Phase::Probing { pause_ms, .. } = self.phase {
            self.phase = Phase::Open {
                until_ms: now_ms,
                pause_ms,
            };
        }
    }

    /// Records a failed attempt. Opens the breaker after the configured number
    /// of consecutive failures, and doubles the pause after a failed probe.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.phase = match self.phase {
            Phase::Closed { failures } if failures + 1 < self.settings.failures => Phase::Closed {
                failures: failures + 1,
            },
            Phase::Closed { .. } => self.open(self.settings.pause_ms, now_ms),
            // Attempts sent before the breaker opened may fail only now. They
            // carry no new information and must not extend the pause.
            Phase::Open { .. } => self.phase,
            Phase::Probing { pause_ms, .. } => {
                self.open((pause_ms * 2).min(self.settings.max_pause_ms), now_ms)
            }
        };
    }

    fn open(&self, pause_ms: u64, now_ms: u64) -> Phase {
        Phase::Open {
            until_ms: now_ms + pause_ms,
            pause_ms,
        }
    }
}
