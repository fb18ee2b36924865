use {
    super::lock,
    mangowalk_core::{
        membership::{Draining, Instance, Ready, Starting, StartingFacts, Stopped},
        shutdown::{RecentDurations, RequestTime, can_finish},
    },
    std::sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};

/// Phase of the instance.
#[derive(Debug, Clone, Copy)]
enum Phase {
    Starting(Instance<Starting>),
    Ready(Instance<Ready>),
    Draining(Instance<Draining>),
    Stopped(#[expect(dead_code, reason = "shown in debug output")] Instance<Stopped>),
}

/// Phase of the process, and the number of its open requests.
#[derive(Debug)]
pub struct Lifecycle {
    phase: Mutex<Phase>,
    stopped: AtomicBool,
    open_requests: Arc<AtomicUsize>,
    /// When a draining instance cuts off open requests; `u64::MAX` unless it drains.
    exit_ms: AtomicU64,
    durations: Mutex<RecentDurations>,
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle {
            phase: Mutex::new(Phase::Starting(Instance::starting(0))),
            stopped: AtomicBool::default(),
            open_requests: Arc::default(),
            exit_ms: AtomicU64::new(u64::MAX),
            durations: Mutex::default(),
        }
    }
}

impl Lifecycle {
    /// Changes from starting to ready if the facts allow it. Returns whether
    /// the phase changed.
    pub fn try_ready(&self, facts: StartingFacts, now_ms: u64) -> bool {
        let mut phase = lock(&self.phase);
        let Phase::Starting(starting) = *phase else {
            return false;
        };
        let Ok(ready) = starting.ready(facts, now_ms) else {
            return false;
        };
        *phase = Phase::Ready(ready);
        true
    }

    /// Starts to drain: the instance is no longer ready, and callers are sent
    /// to other instances. Requests that are open at `exit_ms` are cut off.
    pub fn depart(&self, exit_ms: u64, now_ms: u64) {
        self.exit_ms.store(exit_ms, Ordering::SeqCst);
        let mut phase = lock(&self.phase);
        *phase = match *phase {
            Phase::Starting(starting) => Phase::Draining(starting.drain(now_ms)),
            Phase::Ready(ready) => Phase::Draining(ready.drain(now_ms)),
            other => other,
        };
    }

    /// Stops a draining instance if no request is open and `grace_ms`, the time
    /// in which callers learn of the departure, is over. Returns whether the
    /// phase is stopped.
    pub fn try_stop(&self, grace_ms: u64, now_ms: u64) -> bool {
        let mut phase = lock(&self.phase);
        let Phase::Draining(draining) = *phase else {
            return matches!(*phase, Phase::Stopped(_));
        };
        match draining.stop(self.open_requests(), grace_ms, now_ms) {
            Ok(stopped) => *phase = Phase::Stopped(stopped),
            Err(_) => return false,
        }
        true
    }

    /// Returns whether the instance accepts new callers.
    pub fn is_ready(&self) -> bool {
        matches!(*lock(&self.phase), Phase::Ready(_))
    }

    /// Returns whether the instance has not been ready yet.
    pub fn is_starting(&self) -> bool {
        matches!(*lock(&self.phase), Phase::Starting(_))
    }

    /// Returns whether the instance drains or has stopped.
    pub fn is_departing(&self) -> bool {
        matches!(*lock(&self.phase), Phase::Draining(_) | Phase::Stopped(_))
    }

    /// Records how long a request took until its answer was complete.
    pub fn record_duration(&self, took_ms: u64) {
        lock(&self.durations).record(took_ms);
    }

    /// Returns whether a request that may take `timeout_ms` is answered before the
    /// instance cuts off open requests, as far as can be told.
    pub fn can_finish(&self, timeout_ms: u64, may_run_again: bool, now_ms: u64) -> bool {
        let until_exit_ms = self.exit_ms.load(Ordering::SeqCst).saturating_sub(now_ms);
        let request = RequestTime {
            left_ms: timeout_ms,
            may_run_again,
            longest_recent_ms: lock(&self.durations).longest_ms(),
        };
        can_finish(&request, until_exit_ms)
    }

    /// Signals all controllers and servers to end.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Returns whether controllers and servers must end.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::SeqCst)
    }

    /// Counts a request as open until the guard is dropped. Returns `None` if
    /// `max_open_requests` are open already.
    pub fn try_open(&self, max_open_requests: usize) -> Option<OpenRequestGuard> {
        let open_before = self.open_requests.fetch_add(1, Ordering::SeqCst);
        let guard = OpenRequestGuard {
            open_requests: self.open_requests.clone(),
        };
        (open_before < max_open_requests).then_some(guard)
    }
}

/// Counts a request as open until it is dropped.
#[derive(Debug)]
pub struct OpenRequestGuard {
    open_requests: Arc<AtomicUsize>,
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.open_requests.fetch_sub(1, Ordering::SeqCst);
    }
}
