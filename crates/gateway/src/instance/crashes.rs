use {
    mangowalk_core::{
        poison::{CrashReport, MAX_CRASHES, PoisonLedger, most_suspect},
        pool::Incarnation,
    },
    std::collections::VecDeque,
};

/// Time within which an engine that lost a request must be seen to be gone for
/// the loss to count as a crash.
const CRASH_MS: u64 = 2_000;

/// Losses remembered until it is known whether their engine is gone.
const MOST_LOST: usize = 256;

/// Crashes told in one heartbeat, so that it fits one datagram.
const MOST_TOLD: usize = 12;

struct Lost {
    engine: Incarnation,
    request: u64,
    lost_ms: u64,
}

/// Requests that were on engines when these crashed.
///
/// A request may crash each engine that begins to run it, and its caller sends
/// it again. A lost answer alone is no crash: the engine has to be gone.
#[derive(Default)]
pub struct Crashes {
    ledger: PoisonLedger,
    lost: VecDeque<Lost>,
}

impl Crashes {
    /// Notes that an engine's answer to a request was lost.
    pub fn lost(&mut self, engine: &Incarnation, request: u64, now_ms: u64) {
        self.lost.push_back(Lost {
            engine: engine.clone(),
            request,
            lost_ms: now_ms,
        });
        if self.lost.len() > MOST_LOST {
            self.lost.pop_front();
        }
    }

    /// Notes that an engine is gone, and charges what it ran with the crash.
    pub fn crashed(&mut self, engine: &Incarnation, now_ms: u64) {
        let on_engine: Vec<(u64, usize)> = self
            .lost
            .iter()
            .filter(|lost| lost.engine == *engine && now_ms < lost.lost_ms + CRASH_MS)
            .map(|lost| (lost.request, self.ledger.crashes(lost.request, now_ms)))
            .collect();
        self.lost.retain(|lost| lost.engine != *engine);
        let crash = hash(format!("{} {}", engine.id, engine.born_ms).as_bytes());
        for request in most_suspect(&on_engine) {
            self.ledger.record_crash(request, crash, now_ms);
            log::warn!(
                "event=crash_charged engine={} identity={request:016x} crashes={}",
                engine.id,
                self.ledger.crashes(request, now_ms),
            );
        }
    }

    /// Returns whether no crash is remembered; then no request need be named.
    pub fn is_empty(&self) -> bool {
        self.ledger.is_empty()
    }

    /// Returns whether a request has crashed so many engines that it is kept
    /// from the others.
    pub fn is_poison(&self, request: u64, now_ms: u64) -> bool {
        self.ledger.crashes(request, now_ms) >= MAX_CRASHES
    }

    /// Notes that a request completed.
    pub fn completed(&mut self, request: u64) {
        self.ledger.clear(request);
    }

    /// Returns what to tell peers.
    pub fn sights(&self, now_ms: u64) -> Vec<CrashReport> {
        let mut sights = self.ledger.reports(now_ms);
        sights.truncate(MOST_TOLD);
        sights
    }

    /// Takes what a peer told.
    pub fn merge(&mut self, sights: &[CrashReport], now_ms: u64) {
        if !sights.is_empty() {
            self.ledger.merge(sights, now_ms);
        }
    }
}

/// Returns a short hash.
pub fn hash(bytes: &[u8]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(bytes).as_bytes()[..8]);
    u64::from_le_bytes(first)
}
