use {
    mangowalk_core::{
        crash_part::EngineCrash,
        poison::{CrashReport, MAX_CRASHES, PoisonLedger, most_suspect},
        pool::{EngineEntry, Incarnation},
    },
    std::collections::{BTreeSet, VecDeque},
};

/// Time after an engine lost a request within which the engine must be found to be
/// gone for the loss to count as a crash.
const CRASH_WINDOW_MS: u64 = 2_000;

/// Maximum number of lost requests that are kept until it is known whether their
/// engine is gone.
const MAX_LOST_REQUESTS: usize = 256;

/// Maximum number of crashes in one heartbeat, so that it fits one datagram.
const MAX_REPORTS: usize = 12;

/// A request whose answer an engine has lost.
pub struct LostRequest {
    /// The engine.
    pub engine: Incarnation,
    /// Hash by which the request is known when its caller sends it again.
    pub identity: u64,
    /// The parts of its prompt that may have crashed the engine.
    pub suspect_parts: Vec<u64>,
    /// When the answer was lost.
    pub lost_ms: u64,
}

/// Attributes crashes of engines to the requests that were running on them.
///
/// A request may crash each engine that starts to run it while its caller keeps
/// retrying. A lost answer alone doesn't count as a crash: the engine must also
/// be gone.
#[derive(Default)]
pub struct CrashTracker {
    ledger: PoisonLedger,
    lost: VecDeque<LostRequest>,
}

impl CrashTracker {
    /// Records that an engine's answer to a request was lost.
    pub fn record_lost(&mut self, lost: LostRequest) {
        self.lost.push_back(lost);
        if self.lost.len() > MAX_LOST_REQUESTS {
            self.lost.pop_front();
        }
    }

    /// Forgets the answers that were lost, as their engines are known not to be gone.
    pub fn forget_lost(&mut self) {
        self.lost.clear();
    }

    /// Records that an engine is gone, and attributes the crash to the most suspect
    /// of the requests that it lost within `CRASH_WINDOW_MS`. Returns the crash with the
    /// parts of their prompts, if it lost any.
    pub fn record_engine_crash(&mut self, entry: &EngineEntry, now_ms: u64) -> Option<EngineCrash> {
        let engine = &entry.incarnation;
        let lost = self.lost.iter();
        let lost =
            lost.filter(|lost| lost.engine == *engine && now_ms < lost.lost_ms + CRASH_WINDOW_MS);
        let lost: Vec<&LostRequest> = lost.collect();
        let on_engine: Vec<(u64, usize)> = lost
            .iter()
            .map(|lost| (lost.identity, self.ledger.crashes(lost.identity, now_ms)))
            .collect();
        let crash = hash(format!("{} {}", engine.id, engine.born_ms).as_bytes());
        let first_lost_ms = lost.iter().map(|lost| lost.lost_ms).min();
        let mut engine_crash = first_lost_ms.map(|lost_ms| EngineCrash {
            service: entry.service.clone(),
            crash,
            age_ms: now_ms.saturating_sub(lost_ms),
            prompts: BTreeSet::new(),
        });
        if let Some(crash) = &mut engine_crash {
            for lost in &lost {
                crash.add_prompt(&lost.suspect_parts);
            }
        }
        self.lost.retain(|lost| lost.engine != *engine);
        for request in most_suspect(&on_engine) {
            self.ledger.record_crash(request, crash, now_ms);
            log::warn!(
                "event=crash_charged engine={} identity={request:016x} crashes={}",
                engine.id,
                self.ledger.crashes(request, now_ms),
            );
        }
        engine_crash
    }

    /// Returns whether no crash is recorded, so that callers needn't compute the
    /// identity of a request.
    pub fn is_empty(&self) -> bool {
        self.ledger.is_empty()
    }

    /// Returns whether [`MAX_CRASHES`] or more crashes are attributed to a request,
    /// so that it must not be sent to further engines.
    pub fn is_poison(&self, request: u64, now_ms: u64) -> bool {
        self.ledger.crashes(request, now_ms) >= MAX_CRASHES
    }

    /// Records that a request completed, which clears it of all known crashes.
    pub fn record_completed(&mut self, request: u64) {
        self.ledger.clear(request);
    }

    /// Returns the latest crashes, to be reported to peers.
    pub fn reports(&self, now_ms: u64) -> Vec<CrashReport> {
        let mut reports = self.ledger.reports(now_ms);
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Merges the crashes that a peer reported.
    pub fn merge(&mut self, reports: &[CrashReport], now_ms: u64) {
        if !reports.is_empty() {
            self.ledger.merge(reports, now_ms);
        }
    }
}

/// Returns the first 64 bits of the BLAKE3 hash of `bytes`, read as little-endian.
pub fn hash(bytes: &[u8]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(bytes).as_bytes()[..8]);
    u64::from_le_bytes(first)
}
