use {
    super::CrashReport,
    std::collections::{HashMap, HashSet},
};

/// Number of crashes after which a request is refused. One or two may be caused
/// by the upstream or by another request on it; crashes of three different
/// upstreams or starts are no coincidence.
pub const MAX_CRASHES: usize = 3;

/// Time after which a crash no longer counts, in milliseconds. Without expiry,
/// a fault of an upstream that has been fixed would get a request refused
/// forever.
pub const CRASH_RETENTION_MS: u64 = 600_000;

/// Maximum number of requests with recorded crashes.
const MAX_REQUESTS: usize = 4_096;

/// Maximum number of recorded crashes per request.
const MAX_CRASHES_PER_REQUEST: usize = 16;

/// Maximum number of crash reports sent to a peer at once.
const MAX_REPORTS: usize = 512;

#[derive(Debug, Clone, Copy)]
struct CrashEntry {
    crash: u64,
    expires_ms: u64,
    cleared: bool,
}

/// Crashes by the request they are attributed to, including crashes reported
/// by other instances.
#[derive(Debug, Clone, Default)]
pub struct PoisonLedger {
    entries: HashMap<u64, Vec<CrashEntry>>,
}

impl PoisonLedger {
    /// Attributes a crash to a request.
    pub fn record_crash(&mut self, request: u64, crash: u64, now_ms: u64) {
        let report = CrashReport {
            request,
            crash,
            age_ms: 0,
            cleared: false,
        };
        self.merge(&[report], now_ms);
    }

    /// Returns whether no crash is recorded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Clears a completed request of all crashes recorded so far. Later crashes
    /// count again.
    pub fn clear(&mut self, request: u64) {
        let entries = self.entries.get_mut(&request);
        for entry in entries.into_iter().flatten() {
            entry.cleared = true;
        }
    }

    /// Returns how many crashes count against a request: those attributed to it
    /// and to no other request with more crashes.
    ///
    /// Each instance attributes crashes only to the requests that it ran
    /// itself. An instance that did not run the request that caused a crash
    /// attributes it to other requests on the same upstream. Once the instances
    /// have exchanged reports, the higher count of the causing request clears
    /// these others.
    pub fn crashes(&self, request: u64, now_ms: u64) -> usize {
        let own = self.active_count(request, now_ms);
        if own == 0 {
            return 0;
        }
        let more_suspect: HashSet<u64> = self
            .entries
            .keys()
            .filter(|other| self.active_count(**other, now_ms) > own)
            .flat_map(|other| self.active_crashes(*other, now_ms))
            .collect();
        self.active_crashes(request, now_ms)
            .filter(|crash| !more_suspect.contains(crash))
            .count()
    }

    /// Returns the number of active crashes attributed to a request,
    /// regardless of other requests.
    fn active_count(&self, request: u64, now_ms: u64) -> usize {
        self.active_crashes(request, now_ms).count()
    }

    fn active_crashes(&self, request: u64, now_ms: u64) -> impl Iterator<Item = u64> + '_ {
        let entries = self.entries.get(&request).into_iter().flatten();
        entries
            .filter(move |entry| !entry.cleared && entry.expires_ms > now_ms)
            .map(|entry| entry.crash)
    }

    /// Returns the crashes to report to a peer, the latest first.
    pub fn reports(&self, now_ms: u64) -> Vec<CrashReport> {
        let mut reports: Vec<CrashReport> = self
            .entries
            .iter()
            .flat_map(|(request, entries)| entries.iter().map(|entry| (*request, entry)))
            .filter(|(_, entry)| entry.expires_ms > now_ms)
            .map(|(request, entry)| CrashReport {
                request,
                crash: entry.crash,
                age_ms: (now_ms + CRASH_RETENTION_MS).saturating_sub(entry.expires_ms),
                cleared: entry.cleared,
            })
            .collect();
        reports.sort_by_key(|report| report.age_ms);
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Merges reports of a peer. A cleared crash stays cleared, whatever the
    /// order in which reports arrive.
    pub fn merge(&mut self, reports: &[CrashReport], now_ms: u64) {
        for report in reports
            .iter()
            .filter(|report| report.age_ms < CRASH_RETENTION_MS)
        {
            let entries = self.entries.entry(report.request).or_default();
            if let Some(entry) = entries.iter_mut().find(|entry| entry.crash == report.crash) {
                entry.cleared |= report.cleared;
                continue;
            }
            entries.push(CrashEntry {
                crash: report.crash,
                expires_ms: now_ms + CRASH_RETENTION_MS - report.age_ms,
                cleared: report.cleared,
            });
            if entries.len() > MAX_CRASHES_PER_REQUEST {
                entries.remove(0);
            }
        }
        self.remove_expired(now_ms);
    }

    /// Removes expired crashes, then the requests with the oldest latest crash
    /// until at most [`MAX_REQUESTS`] are left.
    fn remove_expired(&mut self, now_ms: u64) {
        self.entries.retain(|_, entries| {
            entries.retain(|entry| entry.expires_ms > now_ms);
            !entries.is_empty()
        });
        while self.entries.len() > MAX_REQUESTS {
            let latest =
                |entries: &Vec<CrashEntry>| entries.iter().map(|entry| entry.expires_ms).max();
            let oldest = self.entries.iter().min_by_key(|(_, c)| latest(c));
            let Some(request) = oldest.map(|(request, _)| *request) else {
                return;
            };
            self.entries.remove(&request);
        }
    }
}
