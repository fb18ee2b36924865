/// How an engine's failures keep work from it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HealthSettings {
    /// Time after which half of a failure is forgotten. Some engines fail a
    /// part of their requests for seconds while their own check is good; a
    /// second or two keeps most work away and finds out when it is over.
    pub half_life_ms: f64,
    /// Failures, aged, from which on an engine gets only single requests.
    pub suspect_from: f64,
    /// Time for which a single request may be under way at a doubtful engine
    /// before a further one is sent.
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

/// What was seen of one engine's answers.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Health {
    failures: f64,
    updated_ms: u64,
    silent_attempts: u32,
    probing_since_ms: Option<u64>,
}

impl Health {
    /// Notes an answer that is the engine's own and whole.
    pub fn record_answer(&mut self, settings: &HealthSettings, now_ms: u64) {
        self.failures = self.failures(settings, now_ms) * 0.8;
        self.updated_ms = now_ms;
        self.silent_attempts = 0;
        self.probing_since_ms = None;
    }

    /// Notes a failed or broken answer.
    pub fn record_failure(&mut self, settings: &HealthSettings, now_ms: u64) {
        self.failures = self.failures(settings, now_ms) + 1.0;
        self.updated_ms = now_ms;
        self.probing_since_ms = None;
    }

    /// Notes that the engine took no connection, or fell silent. It gets no
    /// request until it takes a connection again.
    pub fn record_silence(&mut self, settings: &HealthSettings, now_ms: u64) {
        self.record_failure(settings, now_ms);
        self.silent_attempts += 1;
    }

    /// Notes that a request goes to the engine.
    pub fn record_sent(&mut self, settings: &HealthSettings, now_ms: u64) {
        if self.is_suspect(settings, now_ms) {
            self.probing_since_ms = Some(now_ms);
        }
    }

    /// Notes that the engine took a connection again.
    pub fn record_connection(&mut self) {
        self.silent_attempts = 0;
    }

    /// Returns whether the engine did not answer when last tried.
    pub fn is_silent(&self) -> bool {
        self.silent_attempts > 0
    }

    /// Returns the failures, aged.
    pub fn failures(&self, settings: &HealthSettings, now_ms: u64) -> f64 {
        let passed = now_ms.saturating_sub(self.updated_ms) as f64;
        self.failures * (-passed / settings.half_life_ms).exp2()
    }

    /// Returns whether only single requests should go to the engine.
    pub fn is_suspect(&self, settings: &HealthSettings, now_ms: u64) -> bool {
        self.silent_attempts > 0 || self.failures(settings, now_ms) >= settings.suspect_from
    }

    /// Returns whether no request should go to the engine now.
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
