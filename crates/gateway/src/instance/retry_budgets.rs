use {
    super::Instance,
    mangowalk_core::retries::{BudgetShare, FleetRetryBudget, SlackSharers},
    std::{cell::RefCell, collections::HashMap},
};

/// Retry budgets by service, and how the slack is divided.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    budgets: RefCell<HashMap<String, FleetRetryBudget>>,
    /// The instances among which the slack is divided.
    pub sharers: RefCell<SlackSharers>,
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
        let peers = self.members.borrow().expected();
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
        self.retry_budgets
            .with(service, |budget| budget.record_request(&settings, now_ms));
    }

    /// Takes one retry from the budget of a service. Returns whether it was granted.
    pub fn try_retry(&self, service: &str, now_ms: u64) -> bool {
        let settings = self.machine().retries;
        let share = self.budget_share(now_ms);
        let (granted, report) = self.retry_budgets.with(service, |budget| {
            let granted = budget.try_retry(&settings, share, now_ms);
            (granted, budget.report(&settings, share, now_ms))
        });
        let outcome = if granted { "granted" } else { "exhausted" };
        self.counters.count("repeats", outcome);
        if let Some(report) = report {
            let slack = share.slack_fraction;
            log::info!("event=retry_budget service={service} slack_fraction={slack:.3} {report}");
        }
        granted
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
