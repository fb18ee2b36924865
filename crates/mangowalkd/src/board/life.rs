use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

/// Phase of the process and its open requests.
#[derive(Debug, Default)]
pub struct Life {
    departing: AtomicBool,
    stopped: AtomicBool,
    open: Arc<AtomicUsize>,
}

impl Life {
    /// Notes that the instance leaves: callers are sent elsewhere.
    pub fn depart(&self) {
        self.departing.store(true, Ordering::SeqCst);
    }

    /// Returns whether the instance leaves.
    pub fn is_departing(&self) -> bool {
        self.departing.load(Ordering::SeqCst)
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
    pub fn open(&self, most: usize) -> Option<OpenRequest> {
        let before = self.open.fetch_add(1, Ordering::SeqCst);
        let guard = OpenRequest {
            open: self.open.clone(),
        };
        (before < most).then_some(guard)
    }
}

/// A request that is counted as open while this guard lives.
#[derive(Debug)]
pub struct OpenRequest {
    open: Arc<AtomicUsize>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
    }
}
