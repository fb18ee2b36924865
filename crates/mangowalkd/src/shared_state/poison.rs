use {
    super::lock,
    mangowalk_core::poison::{CRASH_RETENTION_MS, CrashReport, PoisonLedger, most_suspect},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
    },
};

/// Crashes attributed to requests, and the requests that run on each upstream.
#[derive(Debug, Clone, Default)]
pub struct SharedPoison {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    ledger: PoisonLedger,
    running: HashMap<String, HashMap<u64, u32>>,
    /// Crashes that were attributed, with the time at which each entry expires.
    recorded_crashes: HashMap<u64, u64>,
}

impl SharedPoison {
    /// Counts a request as running on an upstream until the guard is dropped.
    pub fn start(&self, upstream: &str, request: u64) -> RunningRequest {
        let mut inner = lock(&self.inner);
        let running = inner.running.entry(upstream.to_owned()).or_default();
        *running.entry(request).or_default() += 1;
        RunningRequest {
            shared: self.clone(),
            upstream: upstream.to_owned(),
            request,
        }
    }

    /// Attributes a crash of an upstream to the most suspect requests that run
    /// there. Returns whether the crash is a new one.
    ///
    /// Each request that ran there detects the same crash on its own thread.
    /// Only the first call has an effect, while all of them still count as
    /// running.
    pub fn record_crash(&self, upstream: &str, crash: u64, now_ms: u64) -> bool {
        let mut inner = lock(&self.inner);
        inner
            .recorded_crashes
            .retain(|_, until_ms| *until_ms > now_ms);
        if inner
            .recorded_crashes
            .insert(crash, now_ms + CRASH_RETENTION_MS)
            .is_some()
        {
            return false;
        }
        let requests = inner.running.get(upstream).into_iter().flatten();
        let on_upstream: Vec<(u64, usize)> = requests
            .map(|(request, _)| (*request, inner.ledger.crashes(*request, now_ms)))
            .collect();
        for request in most_suspect(&on_upstream) {
            inner.ledger.record_crash(request, crash, now_ms);
        }
        true
    }

    /// Returns the number of crashes that are attributed to a request.
    pub fn crashes(&self, request: u64, now_ms: u64) -> usize {
        lock(&self.inner).ledger.crashes(request, now_ms)
    }

    /// Clears the crashes of a request that completed.
    pub fn completed(&self, request: u64) {
        lock(&self.inner).ledger.clear(request);
    }

    /// Returns the upstreams on which a suspect request other than `except`
    /// runs. Suspects are not placed together, because a crash could then not
    /// be attributed to one of them.
    pub fn upstreams_with_suspects(&self, except: u64, now_ms: u64) -> Vec<String> {
        let inner = lock(&self.inner);
        let is_suspect = |request: &u64| inner.ledger.crashes(*request, now_ms) > 0;
        inner
            .running
            .iter()
            .filter(|(_, requests)| requests.keys().any(|r| *r != except && is_suspect(r)))
            .map(|(upstream, _)| upstream.clone())
            .collect()
    }

    /// Returns the crash reports to send to a peer.
    pub fn reports(&self, now_ms: u64) -> Vec<CrashReport> {
        lock(&self.inner).ledger.reports(now_ms)
    }

    /// Merges the crash reports of a peer.
    ///
    /// A report does not count as attributed here, so the crash is still
    /// attributed to the requests that run here: the peer knows only its own
    /// requests on the engine, which may not have caused it. Otherwise the
    /// request that did would be missed whenever a peer was faster. The ledger
    /// counts a crash only for the most suspect of all requests that it is
    /// attributed to.
    pub fn merge(&self, reports: &[CrashReport], now_ms: u64) {
        if !reports.is_empty() {
            lock(&self.inner).ledger.merge(reports, now_ms);
        }
    }
}

/// Counts a request as running on an upstream until it is dropped.
#[derive(Debug)]
pub struct RunningRequest {
    shared: SharedPoison,
    upstream: String,
    request: u64,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut inner = lock(&self.shared.inner);
        let Some(running) = inner.running.get_mut(&self.upstream) else {
            return;
        };
        if let Some(count) = running.get_mut(&self.request) {
            *count -= 1;
        }
        running.retain(|_, count| *count > 0);
        if running.is_empty() {
            inner.running.remove(&self.upstream);
        }
    }
}
