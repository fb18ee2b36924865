use {
    super::lock,
    mangowalk_core::{
        attempt::EndedAttempt,
        upstream::{Health, InstanceRetryBudget},
    },
    std::{
        cell::Cell,
        collections::HashMap,
        sync::{Arc, Mutex},
    },
};

/// Health of each upstream, derived from this instance's own attempts, and the
/// retry budget.
///
/// Placement excludes the engines for which [`SharedUpstreams::usable`] is
/// false. If none is left and the request can't wait, an engine that
/// [`SharedUpstreams::allows`] an attempt is used rather than refusing the
/// request.
#[derive(Debug, Clone, Default)]
pub struct SharedUpstreams {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    upstreams: HashMap<String, Entry>,
    budget: InstanceRetryBudget,
}

#[derive(Debug, Default)]
struct Entry {
    health: Health,
    /// Model that the upstream serves.
    serves: String,
}

impl SharedUpstreams {
    /// Returns whether an upstream may get one more attempt: its circuit
    /// breaker is closed or due for a probe, it is not stalled, and it is below
    /// its limit of attempts that wait for their first token.
    pub fn usable(&self, name: &str, now_ms: u64) -> bool {
        self.read(name, |health| health.usable(now_ms))
    }

    /// Returns whether an upstream's circuit breaker allows an attempt.
    pub fn allows(&self, name: &str, now_ms: u64) -> bool {
        self.read(name, |health| health.allows(now_ms))
    }

    /// Returns whether an upstream has stalled: none of its streams receives
    /// tokens.
    pub fn is_stalled(&self, name: &str, now_ms: u64) -> bool {
        self.read(name, |health| health.is_stalled(now_ms))
    }

    /// Removes the upstreams for which `keep` returns false, because their
    /// records were withdrawn.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        lock(&self.inner).upstreams.retain(|name, _| keep(name));
    }

    /// Records a request's first attempt in the retry budget.
    pub fn record_first_attempt(&self) {
        lock(&self.inner).budget.record_first_attempt();
    }

    /// Takes a retry from the budget. Returns whether one was left.
    pub fn try_retry(&self) -> bool {
        lock(&self.inner).budget.try_retry()
    }

    /// Charges the resumption of a stream to the retry budget.
    pub fn charge_resume(&self) {
        lock(&self.inner).budget.charge_resume();
    }

    /// Counts an attempt on an upstream. Returns `None` if its breaker does not
    /// allow it. The latency of an upstream is compared with that of others
    /// that have the same `serves`.
    pub fn start(&self, name: &str, serves: &str, now_ms: u64) -> Option<UpstreamAttempt> {
        let mut inner = lock(&self.inner);
        let entry = inner.upstreams.entry(name.to_owned()).or_default();
        if entry.serves != serves {
            entry.serves = serves.to_owned();
        }
        entry.health.start(now_ms).then(|| UpstreamAttempt {
            shared: self.clone(),
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
    /// Returns the median of the recent times to the first token, in
    /// milliseconds, of the other upstreams that serve the same as this one.
    fn peers_median_ms(&self, name: &str) -> Option<f64> {
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

/// Counts an attempt as waiting on its upstream until its first token or its
/// end, or until this guard is dropped.
#[derive(Debug)]
pub struct UpstreamAttempt {
    shared: SharedUpstreams,
    name: String,
    is_waiting: Cell<bool>,
}

impl UpstreamAttempt {
    /// Records the first token, which took `took_ms`.
    pub fn first_token(&self, took_ms: u64, now_ms: u64) {
        self.is_waiting.set(false);
        let mut inner = lock(&self.shared.inner);
        let peers_median_ms = inner.peers_median_ms(&self.name);
        if let Some(entry) = inner.upstreams.get_mut(&self.name) {
            entry.health.first_token(took_ms, peers_median_ms, now_ms);
        }
    }

    /// Records a token after the first.
    pub fn record_token(&self, now_ms: u64) {
        self.update(|health| health.record_token(now_ms));
    }

    /// Records that a stream waited and received nothing.
    pub fn record_silence(&self, now_ms: u64) {
        self.update(|health| health.record_silence(now_ms));
    }

    fn update(&self, writer: impl FnOnce(&mut Health)) {
        let mut inner = lock(&self.shared.inner);
        if let Some(entry) = inner.upstreams.get_mut(&self.name) {
            writer(&mut entry.health);
        }
    }

    /// Records how the attempt ended.
    pub fn end(self, ended: &EndedAttempt, now_ms: u64) {
        self.is_waiting.set(false);
        let mut inner = lock(&self.shared.inner);
        if let Some(entry) = inner.upstreams.get_mut(&self.name) {
            entry.health.end(ended, now_ms);
        }
    }
}

impl Drop for UpstreamAttempt {
    /// Stops counting an attempt whose thread panicked before the first token.
    /// Otherwise it would take up a place in the upstream's limit forever.
    fn drop(&mut self) {
        if !self.is_waiting.get() {
            return;
        }
        let mut inner = lock(&self.shared.inner);
        if let Some(entry) = inner.upstreams.get_mut(&self.name) {
            entry.health.cancel_waiting();
        }
    }
}
