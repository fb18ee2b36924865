use {
    super::lock,
    mangowalk_core::{
        attempt::EndedAttempt,
        upstream::{Health, RetryBudget},
    },
    std::{
        cell::Cell,
        collections::HashMap,
        sync::{Arc, Mutex},
    },
};

/// What each upstream can take, judged from this instance's own attempts.
///
/// Placement asks [`SharedUpstreams::usable`] for each engine that it weighs
/// and leaves out those that are not. Where nothing is usable, an engine that
/// [`SharedUpstreams::allows`] an attempt is better than a refusal, unless the
/// request can wait.
#[derive(Debug, Clone, Default)]
pub struct SharedUpstreams {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    upstreams: HashMap<String, Entry>,
    budget: RetryBudget,
}

#[derive(Debug, Default)]
struct Entry {
    health: Health,
    serves: String,
}

impl SharedUpstreams {
    /// Returns whether an upstream may get one more attempt: its breaker is
    /// closed or due for a probe, and it is below its limit.
    pub fn usable(&self, name: &str, now_ms: u64) -> bool {
        self.read(name, |health| health.usable(now_ms))
    }

    /// Returns whether an upstream's breaker lets an attempt through.
    pub fn allows(&self, name: &str, now_ms: u64) -> bool {
        self.read(name, |health| health.allows(now_ms))
    }

    /// Returns whether an upstream has fallen silent to all of its streams.
    pub fn is_stalled(&self, name: &str, now_ms: u64) -> bool {
        self.read(name, |health| health.is_stalled(now_ms))
    }

    /// Forgets upstreams whose records are gone.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        lock(&self.inner).upstreams.retain(|name, _| keep(name));
    }

    /// Notes a request that is tried for the first time.
    pub fn first_attempt(&self) {
        lock(&self.inner).budget.record_first_attempt();
    }

    /// Takes a retry out of the budget, if one is left.
    pub fn retry(&self) -> bool {
        lock(&self.inner).budget.try_retry()
    }

    /// Charges a stream that is resumed.
    pub fn resume(&self) {
        lock(&self.inner).budget.charge_resume();
    }

    /// Counts an attempt on an upstream, unless its breaker holds it back.
    /// Upstreams that serve the same are each other's measure.
    pub fn start(&self, name: &str, serves: &str, now_ms: u64) -> Option<UpstreamAttempt> {
        let mut inner = lock(&self.inner);
        let entry = inner.upstreams.entry(name.to_owned()).or_default();
        if entry.serves != serves {
            entry.serves = serves.to_owned();
        }
        entry.health.start(now_ms).then(|| UpstreamAttempt {
            board: self.clone(),
            name: name.to_owned(),
            is_waiting: Cell::new(true),
        })
    }

    fn read<T>(&self, name: &str, reader: impl FnOnce(&Health) -> T) -> T {
        let inner = lock(&self.inner);
        match inner.upstreams.get(name) {
            Some(entry) => reader(&entry.health),
            None => reader(&Health::default()),
        }
    }
}

impl Inner {
    /// Returns the middle of the times that the peers of an upstream need.
    fn peers_ms(&self, name: &str) -> Option<f64> {
        let serves = &self.upstreams.get(name)?.serves;
        let mut times: Vec<f64> = self
            .upstreams
            .iter()
            .filter(|(peer, entry)| *peer != name && entry.serves == *serves)
            .filter_map(|(_, entry)| entry.health.recent_ms())
            .collect();
        times.sort_by(f64::total_cmp);
        times.get(times.len() / 2).copied()
    }
}

/// An attempt that is counted on its upstream while this guard lives.
#[derive(Debug)]
pub struct UpstreamAttempt {
    board: SharedUpstreams,
    name: String,
    is_waiting: Cell<bool>,
}

impl UpstreamAttempt {
    /// Notes the time to first token.
    pub fn first_token(&self, took_ms: u64, now_ms: u64) {
        self.is_waiting.set(false);
        let mut inner = lock(&self.board.inner);
        let peers_ms = inner.peers_ms(&self.name);
        if let Some(entry) = inner.upstreams.get_mut(&self.name) {
            entry.health.first_token(took_ms, peers_ms, now_ms);
        }
    }

    /// Notes a token behind the first.
    pub fn heard(&self, now_ms: u64) {
        self.update(|health| health.record_token(now_ms));
    }

    /// Notes that a stream listened and heard nothing.
    pub fn unheard(&self, now_ms: u64) {
        self.update(|health| health.record_silence(now_ms));
    }

    fn update(&self, writer: impl FnOnce(&mut Health)) {
        let mut inner = lock(&self.board.inner);
        if let Some(entry) = inner.upstreams.get_mut(&self.name) {
            writer(&mut entry.health);
        }
    }

    /// Notes how the attempt ended.
    pub fn end(self, ended: &EndedAttempt, now_ms: u64) {
        self.is_waiting.set(false);
        let mut inner = lock(&self.board.inner);
        if let Some(entry) = inner.upstreams.get_mut(&self.name) {
            entry.health.end(ended, now_ms);
        }
    }
}

impl Drop for UpstreamAttempt {
    /// A request's thread that panics must not hold its place for ever.
    fn drop(&mut self) {
        if !self.is_waiting.get() {
            return;
        }
        let mut inner = lock(&self.board.inner);
        if let Some(entry) = inner.upstreams.get_mut(&self.name) {
            entry.health.cancel_waiting();
        }
    }
}
