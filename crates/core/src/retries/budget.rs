use {
    super::{
        BudgetShare, RetrySettings,
        loan::Borrowing,
        sliding_sum::{Rounding, SlidingSum},
    },
    derive_more::Display,
    std::collections::VecDeque,
};

/// Interval between two reports of a budget.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// State of a budget for a log line.
#[derive(Debug, Clone, Copy, PartialEq, Display)]
#[display(
    "requests={requests} retries={retries:.1} lent={lent:.1} allowed={allowed:.1} known={knows_spending}"
)]
pub struct RetryReport {
    /// Requests of this instance within the window.
    pub requests: f64,
    /// Retries of this instance within the window, other than borrowed ones.
    pub retries: f64,
    /// Retries lent to peers.
    pub lent: f64,
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
    lent: SlidingSum,
    loans: VecDeque<Loan>,
    borrowing: Borrowing,
    reported_ms: Option<u64>,
}

/// Retries that a peer has lent.
#[derive(Debug, Clone, Copy)]
struct Loan {
    retries: f64,
    until_ms: u64,
}

/// Fraction of what is left that a peer may have at a time.
const LENDABLE_FRACTION: f64 = 0.5;

/// Smallest difference that matters between sums of parts of a retry.
const TOLERANCE: f64 = 1e-6;

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

    /// Takes one retry out of what peers have lent and, for the rest, of the budget;
    /// returns false if they don't suffice.
    pub fn try_retry(&mut self, settings: &RetrySettings, share: BudgetShare, now_ms: u64) -> bool {
        self.loans.retain(|loan| now_ms < loan.until_ms);
        let borrowed: f64 = self.loans.iter().map(|loan| loan.retries).sum();
        if borrowed + self.available(settings, share, now_ms) < 1.0 - TOLERANCE {
            return false;
        }
        let own = 1.0 - self.take_borrowed(1.0);
        self.retries.add(own, settings.window_ms, now_ms);
        true
    }

    /// Takes up to this much out of what peers have lent, and returns how much that was.
    fn take_borrowed(&mut self, wanted: f64) -> f64 {
        let mut left = wanted;
        for loan in &mut self.loans {
            let taken = loan.retries.min(left);
            loan.retries -= taken;
            left -= taken;
        }
        wanted - left
    }

    /// Takes up to this many retries out of the budget for a peer, and returns how many. An
    /// instance that doesn't know what was spent lends none.
    ///
    /// The loan counts for as long after the window as the peer may take to use it.
    pub fn lend(
        &mut self,
        wanted: f64,
        settings: &RetrySettings,
        share: BudgetShare,
        now_ms: u64,
    ) -> f64 {
        if !share.knows_spending(settings) {
            return 0.0;
        }
        let available = self.available(settings, share, now_ms);
        // Half of a part of a retry would help nobody.
        let lendable = (available * LENDABLE_FRACTION).max(available.min(1.0));
        let lent = wanted.min(lendable);
        self.lent.add(lent, lent_window_ms(settings), now_ms);
        lent
    }

    /// Records that a retry is wanted for which none is left. Returns whether peers may be
    /// asked for a loan now.
    pub fn record_refused(&mut self, settings: &RetrySettings, now_ms: u64) -> bool {
        self.borrowing.record_refused(settings, now_ms)
    }

    /// Records that this many peers are asked for a loan, and returns for how many retries
    /// each.
    pub fn ask_for_loan(&mut self, peers: usize, now_ms: u64) -> f64 {
        self.borrowing.ask(peers, now_ms)
    }

    /// Adds what a peer has lent of what it was asked for at `asked_ms`.
    pub fn receive_loan(&mut self, retries: f64, settings: &RetrySettings, asked_ms: u64) {
        self.borrowing.record_answer(retries);
        let until_ms = asked_ms + settings.loan_valid_ms;
        if retries > 0.0 {
            self.loans.push_back(Loan { retries, until_ms });
        }
    }

    /// Returns until when a loan may arrive; `None` if none is awaited.
    pub fn awaits_loan_until(&self, settings: &RetrySettings, now_ms: u64) -> Option<u64> {
        self.borrowing.awaits_until(settings, now_ms)
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
            retries: self.retries.get(settings.window_ms, Rounding::Up, now_ms),
            lent: self
                .lent
                .get(lent_window_ms(settings), Rounding::Up, now_ms),
            allowed: share.allowed(settings, requests),
            knows_spending: share.knows_spending(settings),
        })
    }

    fn available(&mut self, settings: &RetrySettings, share: BudgetShare, now_ms: u64) -> f64 {
        let requests = self.requests(settings, now_ms);
        let spent = self.retries.get(settings.window_ms, Rounding::Up, now_ms);
        let lent = self
            .lent
            .get(lent_window_ms(settings), Rounding::Up, now_ms);
        (share.allowed(settings, requests) - spent - lent).max(0.0)
    }

    fn requests(&mut self, settings: &RetrySettings, now_ms: u64) -> f64 {
        self.requests
            .get(settings.window_ms, Rounding::Down, now_ms)
    }
}

/// Returns the time for which a loan counts at the lender: the peer may use it that late.
fn lent_window_ms(settings: &RetrySettings) -> u64 {
    settings.window_ms + settings.loan_valid_ms
}
