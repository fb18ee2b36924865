use crate::routing::TokenRate;

/// How an instance's part of a rate behaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareSettings {
    /// Part of the rate that is divided evenly, whoever has callers. Without
    /// it an instance whose first caller comes would have nothing to give
    /// until its peers have heard of the demand.
    pub even: f64,
    /// Seconds of the rate that a new bucket holds. A restart forgets what was
    /// spent before it, so this much may be spent twice in a window; the
    /// window's tolerance (a tenth of eight seconds) covers it.
    pub start_s: f64,
    /// Part of the burst that a bucket saves up. Below one, as the parts of
    /// instances whose shares just changed add up to more than the whole.
    pub burst: f64,
}

impl Default for ShareSettings {
    fn default() -> ShareSettings {
        ShareSettings {
            even: 0.4,
            start_s: 0.5,
            burst: 0.9,
        }
    }
}

/// One instance's bucket of one team.
#[derive(Debug, Clone, PartialEq)]
pub struct RateShare {
    settings: ShareSettings,
    rate: TokenRate,
    fraction: f64,
    level: f64,
    filled_ms: u64,
}

impl RateShare {
    /// Returns a bucket with its first level.
    pub fn new(settings: ShareSettings, rate: TokenRate, fraction: f64, now_ms: u64) -> RateShare {
        RateShare {
            settings,
            rate,
            fraction,
            level: rate.per_s * fraction * settings.start_s,
            filled_ms: now_ms,
        }
    }

    /// Takes over a new rate or fraction; what was saved beyond it is dropped.
    pub fn adjust(&mut self, rate: TokenRate, fraction: f64, now_ms: u64) {
        self.fill(now_ms);
        self.rate = rate;
        self.fraction = fraction;
        self.level = self.level.min(self.capacity());
    }

    /// Takes tokens, or says after how many milliseconds they may be there.
    ///
    /// A request larger than the whole bucket goes when the bucket is full,
    /// and leaves a debt; else it could never go.
    ///
    /// # Errors
    ///
    /// Returns the wait where there isn't enough.
    pub fn take(&mut self, tokens: f64, now_ms: u64) -> Result<(), u64> {
        self.fill(now_ms);
        let needed = tokens.min(self.capacity() * 0.95);
        if self.level >= needed {
            self.level -= tokens;
            return Ok(());
        }
        let per_ms = (self.rate.per_s * self.fraction / 1000.0).max(1e-9);
        Err(((needed - self.level) / per_ms).min(60_000.0) as u64)
    }

    /// Gives back tokens of a request that did not run.
    pub fn give_back(&mut self, tokens: f64) {
        self.level = (self.level + tokens).min(self.capacity());
    }

    fn capacity(&self) -> f64 {
        self.rate.burst * self.fraction * self.settings.burst
    }

    fn fill(&mut self, now_ms: u64) {
        let passed_s = now_ms.saturating_sub(self.filled_ms) as f64 / 1000.0;
        self.filled_ms = self.filled_ms.max(now_ms);
        let gained = self.rate.per_s * self.fraction * passed_s;
        self.level = (self.level + gained).min(self.capacity());
    }
}
