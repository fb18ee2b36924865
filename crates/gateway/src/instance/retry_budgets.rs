use {
    super::{Instance, Loans},
    mangowalk_core::retries::{BudgetShare, FleetRetryBudget, SlackSharers},
    std::{cell::RefCell, collections::HashMap},
};

/// Retry budgets by service, and how the slack is divided.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    budgets: RefCell<HashMap<String, FleetRetryBudget>>,
    /// The instances among which the slack is divided.
    pub sharers: RefCell<SlackSharers>,
    /// Retries that peers lend.
    pub loans: Loans,
}

impl RetryBudgets {
    fn with<T>(&self, service: &str, act: impl FnOnce(&mut FleetRetryBudget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        match budgets.get_mut(service) {
            Some(budget) => act(budget),
            None => act(budgets.entry(service.to_owned()).or_default()),
        }
    }
}

impl Instance {
    /// Returns the part of the retries that this instance may send by itself.
    fn budget_share(&self, now_ms: u64) -> BudgetShare {
        let machine = self.machine();
        let members = self.members.borrow();
        let peers = members.expected_besides(machine.peer_address);
        let mut sharers = self.retry_budgets.sharers.borrow_mut();
        let up_ms = now_ms.saturating_sub(self.started_ms);
        BudgetShare {
            slack_fraction: sharers.fraction(peers, &machine.retries, now_ms),
            up_ms: (!machine.is_first_start).then_some(up_ms),
        }
    }

    /// Records a caller's request in the retry budget of its service.
    pub fn record_request(&self, service: &str, now_ms: u64) {
        let settings = self.machine().retries;
        self.counters.count("retry_requests", "counted");
        self.retry_budgets
            .with(service, |budget| budget.record_request(&settings, now_ms));
    }

    /// Takes one retry from the budget of a service and what peers have lent. Returns
    /// whether it was granted.
    pub fn try_retry(&self, service: &str, now_ms: u64) -> bool {
        let settings = self.machine().retries;
        let share = self.budget_share(now_ms);
        let (granted, report) = self.retry_budgets.with(service, |budget| {
            let granted = budget.try_retry(&settings, share, now_ms);
            (granted, budget.report(&settings, share, now_ms))
        });
        if granted {
            self.counters.count("repeats", "granted");
        }
        if let Some(report) = report {
            let slack = share.slack_fraction;
            log::info!("event=retry_budget service={service} slack_fraction={slack:.3} {report}");
        }
        granted
    }

    /// Returns how many peers to ask for a loan.
    pub fn lenders(&self, now_ms: u64) -> usize {
        self.budget_share(now_ms).lenders(&self.machine().retries)
    }

    /// Records that a retry is wanted for which none is left. Returns whether peers may be
    /// asked for a loan now.
    pub fn record_refused_retry(&self, service: &str, now_ms: u64) -> bool {
        let settings = self.machine().retries;
        self.retry_budgets
            .with(service, |budget| budget.record_refused(&settings, now_ms))
    }

    /// Records that this many peers are asked for a loan, and returns for how many retries
    /// each.
    pub fn plan_loan(&self, service: &str, peers: usize, now_ms: u64) -> f64 {
        self.retry_budgets
            .with(service, |budget| budget.ask_for_loan(peers, now_ms))
    }

    /// Returns until when retries that peers were asked for may arrive; `None` if none are
    /// awaited.
    pub fn awaits_loan_until(&self, service: &str, now_ms: u64) -> Option<u64> {
        let settings = self.machine().retries;
        self.retry_budgets.with(service, |budget| {
            budget.awaits_loan_until(&settings, now_ms)
        })
    }

    /// Adds what a peer has lent of what it was asked for at `asked_ms`.
    pub fn receive_loan(&self, service: &str, retries: f64, asked_ms: u64) {
        let settings = self.machine().retries;
        let outcome = if retries > 0.0 {
            "borrowed"
        } else {
            "not_lent"
        };
        self.counters.count("retry_loans", outcome);
        self.retry_budgets.with(service, |budget| {
            budget.receive_loan(retries, &settings, asked_ms);
        });
    }

    /// Takes up to this many retries out of the budget of a service for a peer, and returns
    /// how many.
    pub fn lend_retries(&self, service: &str, wanted: f64, now_ms: u64) -> f64 {
        let settings = self.machine().retries;
        let share = self.budget_share(now_ms);
        // A peer's configuration may name services that this instance doesn't know.
        if self.routes.borrow().service(service).is_none() {
            return 0.0;
        }
        self.retry_budgets.with(service, |budget| {
            budget.lend(wanted, &settings, share, now_ms)
        })
    }

    /// Returns the number of retries to a service that all instances together have left,
    /// assuming that each has as many requests and retries as this one.
    pub fn remaining_retries(&self, service: &str, now_ms: u64) -> u32 {
        let settings = self.machine().retries;
        let share = self.budget_share(now_ms);
        let instances = self.instance_count();
        self.retry_budgets.with(service, |budget| {
            budget.remaining(&settings, share, instances, now_ms)
        })
    }
}
