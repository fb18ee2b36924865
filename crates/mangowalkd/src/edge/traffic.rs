use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes that the heads of one HTTP exchange take, request and answer
/// together, as the clients here write them. Bodies are counted exactly.
const HTTP_HEAD_BYTES: u64 = 300;

/// What the instance has spent on control: everything but requests and their
/// answers.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Calls of the platform; a waiting watch is one.
    pub platform_calls: AtomicU64,
    /// Bytes to and from the platform.
    pub platform_bytes: AtomicU64,
    /// Messages to and from peers that this instance started.
    pub peer_messages: AtomicU64,
    /// Bytes of those messages, both ways.
    pub peer_bytes: AtomicU64,
    /// Reads of engines' state and cache events.
    pub engine_calls: AtomicU64,
    /// Bytes of those reads, both ways.
    pub engine_bytes: AtomicU64,
}

impl Traffic {
    /// Counts one call of the platform.
    pub(super) fn platform(&self, body_bytes: usize) {
        add(&self.platform_calls, 1);
        add(&self.platform_bytes, body_bytes as u64 + HTTP_HEAD_BYTES);
    }

    /// Counts one exchange with a peer.
    pub(super) fn peer(&self, bytes: usize) {
        add(&self.peer_messages, 1);
        add(&self.peer_bytes, bytes as u64);
    }

    /// Counts one read of an engine.
    pub(super) fn engine(&self, body_bytes: usize) {
        add(&self.engine_calls, 1);
        add(&self.engine_bytes, body_bytes as u64 + HTTP_HEAD_BYTES);
    }
}

fn add(counter: &AtomicU64, number: u64) {
    counter.fetch_add(number, Ordering::Relaxed);
}
