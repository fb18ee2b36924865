use {
    super::lock,
    mangowalk_core::poison::{CRASH_RETENTION_MS, CrashReport, PoisonLedger, most_suspect},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
    },
};

/// Requests that crash upstreams, and which run on which upstream now.
#[derive(Debug, Clone, Default)]
pub struct SharedPoison {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    ledger: PoisonLedger,
    running: HashMap<String, HashMap<u64, u32>>,
    /// Crashes that were charged, and until when they are remembered.
    judged: HashMap<u64, u64>,
}

impl SharedPoison {
    /// Counts a request as running on an upstream until the guard is dropped.
    pub fn start(&self, upstream: &str, request: u64) -> RunningRequest {
        let mut inner = lock(&self.inner);
        let running = inner.running.entry(upstream.to_owned()).or_default();
        *running.entry(request).or_default() += 1;
        RunningRequest {
            board: self.clone(),
            upstream: upstream.to_owned(),
            request,
        }
    }

    /// Notes a crash of an upstream, and returns whether it is a new one.
    ///
    /// Each request that ran there meets the same crash on its own thread.
    /// The first to come decides for all, while all of them still count as
    /// running.
    pub fn crashed(&self, upstream: &str, crash: u64, now_ms: u64) -> bool {
        let mut inner = lock(&self.inner);
        inner.judged.retain(|_, until_ms| *until_ms > now_ms);
        if inner
            .judged
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

    /// Returns how many crashes a request is charged with.
    pub fn crashes(&self, request: u64, now_ms: u64) -> usize {
        lock(&self.inner).ledger.crashes(request, now_ms)
    }

    /// Clears a request that completed.
    pub fn completed(&self, request: u64) {
        lock(&self.inner).ledger.clear(request);
    }

    /// Returns the upstreams on which another suspect request runs. A suspect
    /// is kept from them: beside another one its crash could not be told from
    /// the other's.
    pub fn with_suspects(&self, but: u64, now_ms: u64) -> Vec<String> {
        let inner = lock(&self.inner);
        let is_suspect = |request: &u64| inner.ledger.crashes(*request, now_ms) > 0;
        inner
            .running
            .iter()
            .filter(|(_, requests)| requests.keys().any(|r| *r != but && is_suspect(r)))
            .map(|(upstream, _)| upstream.clone())
            .collect()
    }

    /// Returns what to tell a peer.
    pub fn reports(&self, now_ms: u64) -> Vec<CrashReport> {
        lock(&self.inner).ledger.reports(now_ms)
    }

    /// Takes what a peer told. A crash that a peer has charged is charged here
    /// too, by what runs here: the peer knows only its own requests on the
    /// engine, which may all be innocent. Were it not, the one to blame would
    /// go free whenever a peer was faster. The ledger lets only the most
    /// suspect of all those charged with a crash answer for it.
    pub fn merge(&self, sights: &[CrashReport], now_ms: u64) {
        if !sights.is_empty() {
            lock(&self.inner).ledger.merge(sights, now_ms);
        }
    }
}

/// A request that counts as running on an upstream while this guard lives.
#[derive(Debug)]
pub struct RunningRequest {
    board: SharedPoison,
    upstream: String,
    request: u64,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut inner = lock(&self.board.inner);
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
