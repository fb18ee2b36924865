use {
    super::Instance,
    crate::clock::now_ms,
    mangowalk_core::{
        routing::Route,
        shutdown::{RecentDurations, RequestTime, can_finish},
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
    },
};

/// Maximum number of routes whose durations are kept.
const MAX_ROUTES: usize = 1_024;

/// When a stopping instance exits, and how long requests take.
#[derive(Debug, Default)]
pub struct Shutdown {
    /// When open requests are cut off; `None` unless the instance is stopping.
    exit_ms: Cell<Option<u64>>,
    /// By the name of their route.
    durations: RefCell<HashMap<String, RecentDurations>>,
}

impl Shutdown {
    /// Records that the instance is stopping, and when it cuts off open requests.
    pub fn begin(&self, exit_ms: u64) {
        self.exit_ms.set(Some(exit_ms));
    }

    /// Records how long a request of a route took until its answer was complete.
    pub fn record_duration(&self, route: &str, took_ms: u64) {
        let mut durations = self.durations.borrow_mut();
        if let Some(known) = durations.get_mut(route) {
            return known.record(took_ms);
        }
        if durations.len() >= MAX_ROUTES {
            durations.clear();
        }
        let mut first = RecentDurations::default();
        first.record(took_ms);
        durations.insert(route.to_owned(), first);
    }

    /// Returns the longest time that one of the last requests of a route took. As long as none
    /// is known, that of a plain answer is the time after which it is fetched from another engine.
    fn longest_recent_ms(&self, route: &Route) -> Option<u64> {
        let durations = self.durations.borrow();
        let known = durations.get(&route.name);
        known
            .and_then(RecentDurations::longest_ms)
            .or_else(|| (!route.retry.is_stream()).then_some(2 * route.target_ms))
    }
}

impl Instance {
    /// Returns whether a request with this deadline is answered before this instance exits, as
    /// far as can be told.
    pub fn can_finish(&self, route: &Route, deadline_ms: u64) -> bool {
        let Some(exit_ms) = self.shutdown.exit_ms.get() else {
            return true;
        };
        let now_ms = now_ms();
        let request = RequestTime {
            left_ms: deadline_ms.saturating_sub(now_ms),
            may_run_again: route.retry.may_run_again(),
            longest_recent_ms: self.shutdown.longest_recent_ms(route),
        };
        can_finish(&request, exit_ms.saturating_sub(now_ms))
    }
}
