use {
    super::{
        BudgetShare, RetrySettings,
        sliding_sum::{Rounding, SlidingSum},
    },
    derive_more::Display,
};

/// Interval between two reports of a budget.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// State of a budget for a log line.
#[derive(Debug, Clone, Copy, PartialEq, Display)]
#[display("requests={requests} retries={retries} allowed={allowed:.1} known={knows_spending}")]
pub struct RetryReport {
    /// Requests of this instance within the window.
    pub requests: f64,
    /// Retries of this instance within the window.
    pub retries: f64,
    /// Retries that this instance may send within the window.
    pub allowed: f64,
    /// Whether all that was spent within the window is known.
    pub knows_spending: bool,
}

/// This instance's part of the retries to one service: what its own requests earn, and a
/// share of the slack.
#[derive(Debug, Clone, Default)]
pub struct FleetRetryBudget {
    requests: SlidingSum,
    retries: SlidingSum,
    reported_ms: Option<u64>,
}

impl FleetRetryBudget {
    /// Records a caller's request.
    pub fn record_request(&mut self, settings: &RetrySettings, now_ms: u64) {
        self.requests.add(1.0, settings.window_ms, now_ms);
        self.requests
            .get(settings.window_ms, Rounding::Down, now_ms);
    }

    /// Returns the number of retries that all instances together have left, assuming that
    /// each has as many requests and retries as this one.
    pub fn remaining(
        &mut self,
        settings: &RetrySettings,
        share: BudgetShare,
        instances: usize,
        now_ms: u64,
    ) -> u32 {
        (self.available(settings, share, now_ms) * instances as f64) as u32
    }

    /// Takes one retry out of the budget; returns false if none is left.
    pub fn try_retry(&mut self, settings: &RetrySettings, share: BudgetShare, now_ms: u64) -> bool {
        if self.available(settings, share, now_ms) < 1.0 {
            return false;
        }
        self.retries.add(1.0, settings.window_ms, now_ms);
        true
    }

    /// Returns the state for a log line; `None` if the last one is less than a second
    /// old.
    pub fn report(
        &mut self,
        settings: &RetrySettings,
        share: BudgetShare,
        now_ms: u64,
    ) -> Option<RetryReport> {
        let is_due = |reported_ms: u64| now_ms >= reported_ms + REPORT_INTERVAL_MS;
        if !self.reported_ms.is_none_or(is_due) {
            return None;
        }
        self.reported_ms = Some(now_ms);
        let requests = self.requests(settings, now_ms);
        Some(RetryReport {
            requests,
            retries: self.retries(settings, now_ms),
            allowed: share.allowed(settings, requests),
            knows_spending: share.knows_spending(settings),
        })
    }

    fn available(&mut self, settings: &RetrySettings, share: BudgetShare, now_ms: u64) -> f64 {
        let requests = self.requests(settings, now_ms);
        let retries = self.retries(settings, now_ms);
        (share.allowed(settings, requests) - retries).max(0.0)
    }

    fn requests(&mut self, settings: &RetrySettings, now_ms: u64) -> f64 {
        self.requests
            .get(settings.window_ms, Rounding::Down, now_ms)
    }

    fn retries(&mut self, settings: &RetrySettings, now_ms: u64) -> f64 {
        self.retries.get(settings.window_ms, Rounding::Up, now_ms)
    }
}
