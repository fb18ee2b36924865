use {
    mangowalk_core::status::ControlTraffic,
    std::sync::atomic::{AtomicU64, Ordering},
};

/// Bytes that the heads of one HTTP exchange take, request and answer
/// together, as the clients here write them. Bodies are counted exactly.
const HTTP_HEAD_BYTES: u64 = 300;

/// What the instance has spent on control: everything but requests and their
/// answers.
/// Counts what the instance spends on control.
#[derive(Debug, Default)]
pub struct Traffic {
    platform_calls: AtomicU64,
    platform_bytes: AtomicU64,
    peer_messages: AtomicU64,
    peer_bytes: AtomicU64,
    engine_calls: AtomicU64,
    engine_bytes: AtomicU64,
}

impl Traffic {
    /// Returns the counts since the start.
    pub fn counts(&self) -> ControlTraffic {
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        ControlTraffic {
            platform_calls: count(&self.platform_calls),
            platform_bytes: count(&self.platform_bytes),
            peer_messages: count(&self.peer_messages),
            peer_bytes: count(&self.peer_bytes),
            engine_calls: count(&self.engine_calls),
            engine_bytes: count(&self.engine_bytes),
        }
    }

    /// Counts one call of the platform.
    pub(super) fn count_platform_call(&self, body_bytes: usize) {
        add(&self.platform_calls, 1);
        add(&self.platform_bytes, body_bytes as u64 + HTTP_HEAD_BYTES);
    }

    /// Counts one exchange with a peer.
    pub(super) fn count_peer_exchange(&self, bytes: usize) {
        add(&self.peer_messages, 1);
        add(&self.peer_bytes, bytes as u64);
    }

    /// Counts one read of an engine.
    pub(super) fn count_engine_call(&self, body_bytes: usize) {
        add(&self.engine_calls, 1);
        add(&self.engine_bytes, body_bytes as u64 + HTTP_HEAD_BYTES);
    }
}

fn add(counter: &AtomicU64, number: u64) {
    counter.fetch_add(number, Ordering::Relaxed);
}
