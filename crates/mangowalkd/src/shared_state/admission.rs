use {
    super::{SharedUpstreams, lock},
    flume::{Receiver, Sender},
    mangowalk_core::{
        admission::{AdmissionSettings, Decision, Dispatcher, Job},
        config::View,
        engine::{CacheEvents, EngineState},
        placement::{Choice, EngineSpec, Placement, PlacementRequest, PlacementSettings},
    },
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
    },
};

/// Settings of placement and admission.
#[derive(Debug, Clone, Default)]
pub struct DispatchSettings {
    /// Settings of how requests are assigned to engines.
    pub placement: PlacementSettings,
    /// Settings of admission and of the queue.
    pub admission: AdmissionSettings,
    /// Seed of the random choices of placement and admission.
    pub seed: u64,
}

/// Admission, queue and placement of this instance, and the request threads
/// that wait for a decision.
#[derive(Debug)]
pub struct SharedDispatcher {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    dispatcher: Dispatcher,
    upstreams: SharedUpstreams,
    waiters: HashMap<u64, Sender<Decision>>,
    next_id: u64,
    /// View whose engines were last passed to placement; `None` before the
    /// first.
    applied_view: Option<Arc<View>>,
    /// Time of the last submission or dispatch.
    now_ms: u64,
}

impl SharedDispatcher {
    /// Returns a dispatcher without engines. The seed must differ between
    /// instances, so that callers refused by several do not retry at the same
    /// time.
    pub fn new(settings: DispatchSettings, upstreams: SharedUpstreams) -> SharedDispatcher {
        let DispatchSettings {
            placement,
            admission,
            seed,
        } = settings;
        let placement = Placement::new(placement, seed);
        SharedDispatcher {
            inner: Mutex::new(Inner {
                dispatcher: Dispatcher::new(placement, admission, seed),
                upstreams,
                waiters: HashMap::new(),
                next_id: 1,
                applied_view: None,
                now_ms: 0,
            }),
        }
    }

    /// Calls `reader` with the placement while it is locked.
    pub fn read<T>(&self, reader: impl FnOnce(&Placement) -> T) -> T {
        reader(lock(&self.inner).dispatcher.placement())
    }

    /// Returns whether the engines of a view were not applied yet.
    pub fn is_new_view(&self, view: &Arc<View>) -> bool {
        let inner = lock(&self.inner);
        !inner
            .applied_view
            .as_ref()
            .is_some_and(|t| Arc::ptr_eq(t, view))
    }

    /// Replaces the engines that placement uses by those of a view.
    pub fn set_engines(&self, specs: &[EngineSpec], view: &Arc<View>) {
        let mut inner = lock(&self.inner);
        inner.dispatcher.placement_mut().set_engines(specs);
        inner.applied_view = Some(view.clone());
    }

    /// Sets how many instances share the engines.
    pub fn set_instances(&self, instances: u32) {
        let mut inner = lock(&self.inner);
        inner.dispatcher.placement_mut().set_instances(instances);
    }

    /// Records the state that an engine reported, `None` if it did not respond,
    /// and dispatches queued requests.
    pub fn report(&self, engine: &str, state: Option<&EngineState>, now_ms: u64) {
        let mut inner = lock(&self.inner);
        inner.dispatcher.placement_mut().report(engine, state);
        inner.dispatch_queued(now_ms);
    }

    /// Applies cache events of an engine to the placement.
    pub fn cache_events(&self, engine: &str, events: &CacheEvents) {
        let mut inner = lock(&self.inner);
        inner
            .dispatcher
            .placement_mut()
            .cache_events(engine, events);
    }

    /// Submits a new request, and returns its ID and the channel that delivers its
    /// decision, in some cases before this call returns.
    pub fn submit(&self, job: Job, now_ms: u64) -> (u64, Receiver<Decision>) {
        let (sender, decision) = flume::bounded(1);
        let mut inner = lock(&self.inner);
        let id = inner.next_id;
        inner.next_id += 1;
        inner.now_ms = now_ms;
        inner.waiters.insert(id, sender);
        let upstreams = inner.upstreams.clone();
        let is_usable = |name: &str| upstreams.usable(name, now_ms);
        let decisions = inner
            .dispatcher
            .submit(Job { id, ..job }, &is_usable, now_ms);
        inner.deliver(decisions, now_ms);
        (id, decision)
    }

    /// Takes a queued request out. Returns `false` if its decision was delivered
    /// already.
    pub fn withdraw(&self, id: u64) -> bool {
        let mut inner = lock(&self.inner);
        let is_queued = inner.waiters.remove(&id).is_some();
        if is_queued {
            inner.dispatcher.remove(id);
        }
        is_queued
    }

    /// Dispatches the queued requests that an engine has capacity for now, and
    /// refuses those that can't be served in time.
    pub fn dispatch_queued(&self, now_ms: u64) {
        lock(&self.inner).dispatch_queued(now_ms);
    }

    /// Chooses an engine without queueing, for a request that was admitted
    /// before and lost its engine. Records the request as sent there.
    pub fn place_retry(&self, request: &PlacementRequest<'_>, now_ms: u64) -> Option<Choice> {
        let mut inner = lock(&self.inner);
        let placement = inner.dispatcher.placement_mut();
        let mut choice = placement.choose(request, now_ms)?;
        placement.sent(&mut choice, request.chain, now_ms);
        Some(choice)
    }

    /// Returns the engine that a request would be sent to now. Nothing is sent
    /// or recorded as sent.
    pub fn preview(&self, request: &PlacementRequest<'_>, now_ms: u64) -> Option<Choice> {
        let mut inner = lock(&self.inner);
        inner.dispatcher.placement_mut().choose(request, now_ms)
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        lock(&self.inner).dispatcher.queued()
    }

    /// Records the first token of an attempt.
    pub fn first_token(&self, choice: &mut Choice, now_ms: u64) {
        let mut inner = lock(&self.inner);
        inner.dispatcher.placement_mut().first_token(choice, now_ms);
    }

    /// Records the end of an attempt whose guard was dropped before it ended.
    /// The time of the last submission or dispatch counts as its end.
    pub(super) fn abandoned(&self, choice: &Choice) {
        let now_ms = lock(&self.inner).now_ms;
        self.ended(choice, None, now_ms);
    }

    /// Records the end of an attempt and the number of blocks that the engine
    /// found in its cache, `None` if unknown. Dispatches queued requests.
    pub fn ended(&self, choice: &Choice, cached_blocks: Option<usize>, now_ms: u64) {
        let mut inner = lock(&self.inner);
        let placement = inner.dispatcher.placement_mut();
        placement.ended(choice, cached_blocks, now_ms);
        inner.dispatch_queued(now_ms);
    }
}

impl Inner {
    fn dispatch_queued(&mut self, now_ms: u64) {
        self.now_ms = now_ms;
        let upstreams = &self.upstreams;
        let is_usable = |name: &str| upstreams.usable(name, now_ms);
        let decisions = self.dispatcher.dispatch_queued(&is_usable, now_ms);
        self.deliver(decisions, now_ms);
    }

    fn deliver(&mut self, decisions: Vec<Decision>, now_ms: u64) {
        for decision in decisions {
            let (Decision::Send { id, .. } | Decision::Refuse { id, .. }) = &decision;
            let delivered = match self.waiters.remove(id) {
                Some(waiter) => waiter.send(decision),
                None => continue,
            };
            // The request's thread has ended. Its place on the engine is
            // released, which would otherwise stay taken.
            if let Err(flume::SendError(Decision::Send { choice, .. })) = delivered {
                let placement = self.dispatcher.placement_mut();
                placement.ended(&choice, None, now_ms);
            }
        }
    }
}
