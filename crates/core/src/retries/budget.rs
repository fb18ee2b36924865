use {derive_more::Display, std::collections::VecDeque};

/// Interval between two reports of a budget.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Bounds on the retries to one service by all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Allowed retries per request, as a fraction.
    pub ratio: f64,
    /// Retries allowed in a window in addition to the ratio.
    pub slack: f64,
    /// Length of the sliding window, in milliseconds.
    pub window_ms: u64,
    /// Fraction of both bounds that this instance uses. The rest covers calls
    /// that engines make themselves, and instances that restart and lose their
    /// counts.
    pub usable_fraction: f64,
}

impl Default for RetrySettings {
    fn default() -> RetrySettings {
        RetrySettings {
            ratio: 0.2,
            slack: 50.0,
            window_ms: 10_000,
            usable_fraction: 0.8,
        }
    }
}

/// State of a budget for a log line.
#[derive(Debug, Clone, Copy, PartialEq, Display)]
#[display("requests={requests} retries={retries} allowed={allowed:.1}")]
pub struct RetryReport {
    /// Requests of this instance within the window.
    pub requests: usize,
    /// Retries of this instance within the window.
    pub retries: usize,
    /// Retries that this instance may send within the window.
    pub allowed: f64,
}

/// Requests and retries of one instance to one service within the window.
#[derive(Debug, Default)]
pub struct FleetRetryBudget {
    requests_ms: VecDeque<u64>,
    retries_ms: VecDeque<u64>,
    reported_ms: Option<u64>,
}

impl FleetRetryBudget {
    /// Records a caller's request.
    pub fn record_request(&mut self, settings: &RetrySettings, now_ms: u64) {
        remove_expired(&mut self.requests_ms, settings.window_ms, now_ms);
        self.requests_ms.push_back(now_ms);
    }

    /// Returns the number of retries that all instances together have left,
    /// assuming that each has as many requests and retries as this one.
    pub fn remaining(&mut self, settings: &RetrySettings, instances: usize, now_ms: u64) -> u32 {
        remove_expired(&mut self.requests_ms, settings.window_ms, now_ms);
        remove_expired(&mut self.retries_ms, settings.window_ms, now_ms);
        let requests = (self.requests_ms.len() * instances) as f64;
        let allowed = (requests * settings.ratio + settings.slack) * settings.usable_fraction;
        let taken = (self.retries_ms.len() * instances) as f64;
        (allowed - taken).max(0.0) as u32
    }

    /// Takes one retry out of the budget; returns false if none is left. The
    /// slack is divided evenly among the instances.
    pub fn try_retry(&mut self, settings: &RetrySettings, instances: usize, now_ms: u64) -> bool {
        remove_expired(&mut self.requests_ms, settings.window_ms, now_ms);
        remove_expired(&mut self.retries_ms, settings.window_ms, now_ms);
        if self.retries_ms.len() as f64 + 1.0 > self.allowed(settings, instances) {
            return false;
        }
        self.retries_ms.push_back(now_ms);
        true
    }

    fn allowed(&self, settings: &RetrySettings, instances: usize) -> f64 {
        let slack = settings.slack / instances.max(1) as f64;
        (self.requests_ms.len() as f64 * settings.ratio + slack) * settings.usable_fraction
    }

    /// Returns the state for a log line; `None` if the last one is less than a second
    /// old.
    pub fn report(
        &mut self,
        settings: &RetrySettings,
        instances: usize,
        now_ms: u64,
    ) -> Option<RetryReport> {
        let is_due = |reported_ms: u64| now_ms >= reported_ms + REPORT_INTERVAL_MS;
        if !self.reported_ms.is_none_or(is_due) {
            return None;
        }
        self.reported_ms = Some(now_ms);
        Some(RetryReport {
            requests: self.requests_ms.len(),
            retries: self.retries_ms.len(),
            allowed: self.allowed(settings, instances),
        })
    }
}

fn remove_expired(times_ms: &mut VecDeque<u64>, window_ms: u64, now_ms: u64) {
    while times_ms
        .front()
        .is_some_and(|&time_ms| time_ms + window_ms <= now_ms)
    {
        times_ms.pop_front();
    }
}
