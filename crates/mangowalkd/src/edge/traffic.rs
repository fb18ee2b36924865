use {
    mangowalk_core::status::ControlTraffic,
    std::sync::atomic::{AtomicU64, Ordering},
};

/// Estimated bytes of the headers of one HTTP exchange, request and answer
/// together, as the clients of this module write them. The bodies of answers are
/// counted exactly.
const HTTP_HEAD_BYTES: u64 = 300;

/// Counters of the instance's control traffic: everything but callers' requests
/// and their answers.
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
    /// Returns the counts since the start of the instance.
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

    /// Counts one call to the platform and the bytes of its answer.
    pub(super) fn count_platform_call(&self, body_bytes: usize) {
        add(&self.platform_calls, 1);
        add(&self.platform_bytes, body_bytes as u64 + HTTP_HEAD_BYTES);
    }

    /// Counts one exchange with a peer, with the bytes of both messages.
    pub(super) fn count_peer_exchange(&self, bytes: usize) {
        add(&self.peer_messages, 1);
        add(&self.peer_bytes, bytes as u64);
    }

    /// Counts one control call to an engine and the bytes of its answer.
    pub(super) fn count_engine_call(&self, body_bytes: usize) {
        add(&self.engine_calls, 1);
        add(&self.engine_bytes, body_bytes as u64 + HTTP_HEAD_BYTES);
    }
}

fn add(counter: &AtomicU64, number: u64) {
    counter.fetch_add(number, Ordering::Relaxed);
}
