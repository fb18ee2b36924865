use {
    super::lock,
    mangowalk_core::membership::{Draining, Instance, Ready, Starting, StartingFacts, Stopped},
    std::sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

/// Phase of the instance, as the board shows it.
#[derive(Debug, Clone, Copy)]
enum Phase {
    Starting(Instance<Starting>),
    Ready(Instance<Ready>),
    Draining(Instance<Draining>),
    Stopped(#[expect(dead_code, reason = "shown in debug output")] Instance<Stopped>),
}

/// Phase of the process and its open requests.
#[derive(Debug)]
pub struct Lifecycle {
    phase: Mutex<Phase>,
    stopped: AtomicBool,
    open: Arc<AtomicUsize>,
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle {
            phase: Mutex::new(Phase::Starting(Instance::starting(0))),
            stopped: AtomicBool::default(),
            open: Arc::default(),
        }
    }
}

impl Lifecycle {
    /// Becomes ready if the facts allow it, and returns whether it did now.
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

    /// Notes that the instance leaves: callers are sent elsewhere.
    pub fn depart(&self, now_ms: u64) {
        let mut phase = lock(&self.phase);
        *phase = match *phase {
            Phase::Starting(starting) => Phase::Draining(starting.drain(now_ms)),
            Phase::Ready(ready) => Phase::Draining(ready.drain(now_ms)),
            other => other,
        };
    }

    /// Stops if callers had time to learn of the leave and no request is
    /// open. Returns whether it has stopped.
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

    /// Returns whether the instance takes new callers.
    pub fn is_ready(&self) -> bool {
        matches!(*lock(&self.phase), Phase::Ready(_))
    }

    /// Returns whether the instance has not been ready yet.
    pub fn is_starting(&self) -> bool {
        matches!(*lock(&self.phase), Phase::Starting(_))
    }

    /// Returns whether the instance leaves.
    pub fn is_departing(&self) -> bool {
        matches!(*lock(&self.phase), Phase::Draining(_) | Phase::Stopped(_))
    }

    /// Tells controllers to end.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Returns whether controllers shall end.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Counts a request as open until the guard is dropped, unless as many
    /// are open already.
    pub fn open(&self, most: usize) -> Option<OpenRequestGuard> {
        let before = self.open.fetch_add(1, Ordering::SeqCst);
        let guard = OpenRequestGuard {
            open: self.open.clone(),
        };
        (before < most).then_some(guard)
    }
}

/// A request that is counted as open while this guard lives.
#[derive(Debug)]
pub struct OpenRequestGuard {
    open: Arc<AtomicUsize>,
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
    }
}
