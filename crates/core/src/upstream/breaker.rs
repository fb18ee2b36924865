use super::BreakerSettings;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Closed { failures: u32 },
    Open { until_ms: u64, pause_ms: u64 },
    Probing { since_ms: u64, pause_ms: u64 },
}

/// Keeps work from an upstream that fails all it gets.
///
/// Load pattern: an engine is dead, or answers everything with an error.
/// Without a breaker each request placed there pays a failed attempt first,
/// and an engine that fails quickly looks idle, so placement by load sends it
/// even more.
///
/// When the pause is over one attempt goes through as a probe. Letting all
/// through at once would hand every waiting request to an engine that most
/// likely is still down.
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

    /// Returns whether an attempt would be let through.
    pub fn allows(&self, now_ms: u64) -> bool {
        match self.phase {
            Phase::Closed { .. } => true,
            Phase::Open { until_ms, .. } => now_ms >= until_ms,
            Phase::Probing { since_ms, .. } => {
                now_ms.saturating_sub(since_ms) >= self.settings.probe_timeout_ms
            }
        }
    }

    /// Returns when the next attempt would be let through, 0 for now.
    pub fn wait_ms(&self, now_ms: u64) -> u64 {
        match self.phase {
            Phase::Closed { .. } => 0,
            Phase::Open { until_ms, .. } => until_ms.saturating_sub(now_ms),
            Phase::Probing { since_ms, .. } => {
                (since_ms + self.settings.probe_timeout_ms).saturating_sub(now_ms)
            }
        }
    }

    /// Lets an attempt through, or not. The first behind a pause is a probe.
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

    /// Notes that the upstream works.
    pub fn succeeded(&mut self) {
        self.phase = Phase::Closed { failures: 0 };
    }

    /// Notes an attempt that tells nothing: the probe it may have been is
    /// given back.
    pub fn inconclusive(&mut self, now_ms: u64) {
        if let Phase::Probing { pause_ms, .. } = self.phase {
            self.phase = Phase::Open {
                until_ms: now_ms,
                pause_ms,
            };
        }
    }

    /// Notes a failed attempt.
    pub fn failed(&mut self, now_ms: u64) {
        self.phase = match self.phase {
            Phase::Closed { failures } if failures + 1 < self.settings.failures => Phase::Closed {
                failures: failures + 1,
            },
            Phase::Closed { .. } => self.open(self.settings.pause_ms, now_ms),
            // Attempts that were out before it opened fail late. They tell
            // nothing new, and must not lengthen the pause.
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
