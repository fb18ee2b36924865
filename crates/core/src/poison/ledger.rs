use {
    super::CrashReport,
    std::collections::{HashMap, HashSet},
};

/// Crashes after which a request is refused. One or two may be the upstream's
/// own or a neighbour's; three different upstreams or starts are no accident.
pub const MAX_CRASHES: usize = 3;

/// Time after which a crash counts no longer: an upstream's own fault, mended
/// meanwhile, must not condemn a request for ever.
pub const CRASH_RETENTION_MS: u64 = 600_000;

/// Requests that are remembered.
const MAX_REQUESTS: usize = 4_096;

/// Crashes that are remembered of one request.
const MAX_CRASHES_PER_REQUEST: usize = 16;

/// Crashes that are told to a peer at once.
const MAX_REPORTS: usize = 512;

#[derive(Debug, Clone, Copy)]
struct CrashEntry {
    crash: u64,
    expires_ms: u64,
    cleared: bool,
}

/// Crashes by request, those of other instances included.
#[derive(Debug, Clone, Default)]
pub struct PoisonLedger {
    entries: HashMap<u64, Vec<CrashEntry>>,
}

impl PoisonLedger {
    /// Charges a request with a crash.
    pub fn record_crash(&mut self, request: u64, crash: u64, now_ms: u64) {
        let report = CrashReport {
            request,
            crash,
            age_ms: 0,
            cleared: false,
        };
        self.merge(&[report], now_ms);
    }

    /// Returns whether no crash is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Clears a request that completed of all crashes known by now. A crash
    /// that comes later counts.
    pub fn clear(&mut self, request: u64) {
        let entries = self.entries.get_mut(&request);
        for entry in entries.into_iter().flatten() {
            entry.cleared = true;
        }
    }

    /// Returns for how many different crashes a request answers: those that it
    /// is charged with while no other request charged with them is more
    /// suspect.
    ///
    /// Each instance charges what it runs itself, so requests that only stood
    /// beside the one to blame are charged where that one is not known. Once
    /// instances have told each other, its higher count clears them.
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

    /// Returns how many crashes a request is charged with, whoever else is.
    fn active_count(&self, request: u64, now_ms: u64) -> usize {
        self.active_crashes(request, now_ms).count()
    }

    fn active_crashes(&self, request: u64, now_ms: u64) -> impl Iterator<Item = u64> + '_ {
        let entries = self.entries.get(&request).into_iter().flatten();
        entries
            .filter(move |entry| !entry.cleared && entry.expires_ms > now_ms)
            .map(|entry| entry.crash)
    }

    /// Returns what to tell a peer, the latest first.
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

    /// Takes what a peer told. Clearing wins over charging, in whichever
    /// order both come.
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

    /// Forgets what is old, and of the rest what is oldest if it is too much.
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
