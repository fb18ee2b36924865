/// How failures keep requests away from an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HealthSettings {
    /// Half-life of a failure. Some engines fail part of their requests for
    /// seconds while their own health check passes; one or two seconds keep
    /// most requests away and still detect the recovery.
    pub half_life_ms: f64,
    /// Decayed number of failures from which on an engine gets only single
    /// probe requests.
    pub suspect_from: f64,
    /// Time after which another probe request is sent if the last one has not
    /// ended.
    pub probe_ms: u64,
}

impl Default for HealthSettings {
    fn default() -> HealthSettings {
        HealthSettings {
            half_life_ms: 2_000.0,
            suspect_from: 1.5,
            probe_ms: 800,
        }
    }
}

/// Recent failures of one engine, as seen by this instance.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Health {
    failures: f64,
    updated_ms: u64,
    silent_attempts: u32,
    probing_since_ms: Option<u64>,
}

impl Health {
    /// Records a complete answer of the engine itself. Reduces the failures by
    /// a fifth.
    pub fn record_answer(&mut self, settings: &HealthSettings, now_ms: u64) {
        self.failures = self.failures(settings, now_ms) * 0.8;
        self.updated_ms = now_ms;
        self.silent_attempts = 0;
        self.probing_since_ms = None;
    }

    /// Records a failed or broken answer.
    pub fn record_failure(&mut self, settings: &HealthSettings, now_ms: u64) {
        self.failures = self.failures(settings, now_ms) + 1.0;
        self.updated_ms = now_ms;
        self.probing_since_ms = None;
    }

    /// Records that the engine accepted no connection or stopped sending. It
    /// gets no request until it accepts a connection again.
    pub fn record_silence(&mut self, settings: &HealthSettings, now_ms: u64) {
        self.record_failure(settings, now_ms);
        self.silent_attempts += 1;
    }

    /// Records that a request is sent to the engine; the request is a probe if
    /// the engine is suspect.
    pub fn record_sent(&mut self, settings: &HealthSettings, now_ms: u64) {
        if self.is_suspect(settings, now_ms) {
            self.probing_since_ms = Some(now_ms);
        }
    }

    /// Records that the engine accepted a connection again.
    pub fn record_connection(&mut self) {
        self.silent_attempts = 0;
    }

    /// Forgets all failures. An engine that accepted no connection gets no request until
    /// it accepts one.
    pub fn forget_failures(&mut self) {
        self.failures = 0.0;
        self.probing_since_ms = None;
    }

    /// Returns whether the engine did not answer at the last attempt.
    pub fn is_silent(&self) -> bool {
        self.silent_attempts > 0
    }

    /// Returns the decayed number of failures.
    pub fn failures(&self, settings: &HealthSettings, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.failures * (-elapsed_ms / settings.half_life_ms).exp2()
    }

    /// Returns whether the engine should get only single probe requests.
    pub fn is_suspect(&self, settings: &HealthSettings, now_ms: u64) -> bool {
        self.silent_attempts > 0 || self.failures(settings, now_ms) >= settings.suspect_from
    }

    /// Returns whether no request should be sent to the engine now: it is
    /// silent, or suspect with a probe in flight.
    pub fn is_excluded(&self, settings: &HealthSettings, now_ms: u64) -> bool {
        if self.silent_attempts > 0 {
            return true;
        }
        let probing = self
            .probing_since_ms
            .is_some_and(|since_ms| now_ms < since_ms + settings.probe_ms);
        probing && self.is_suspect(settings, now_ms)
    }
}
