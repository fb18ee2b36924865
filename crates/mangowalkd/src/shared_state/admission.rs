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
    /// How requests are placed.
    pub placement: PlacementSettings,
    /// How requests are admitted.
    pub admission: AdmissionSettings,
    /// Seed of what is random.
    pub seed: u64,
}

/// Admission, queue and placement of this instance, and who waits for them.
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
    /// View whose engines placement knows.
    taken: Option<Arc<View>>,
    now_ms: u64,
}

impl SharedDispatcher {
    /// Returns a board that knows no engine yet. The seed differs between
    /// instances, so that refused callers of several do not return together.
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
                taken: None,
                now_ms: 0,
            }),
        }
    }

    /// Reads the placement.
    pub fn read<T>(&self, reader: impl FnOnce(&Placement) -> T) -> T {
        reader(lock(&self.inner).dispatcher.placement())
    }

    /// Returns whether the engines of a view were not taken yet.
    pub fn is_new(&self, view: &Arc<View>) -> bool {
        let inner = lock(&self.inner);
        !inner.taken.as_ref().is_some_and(|t| Arc::ptr_eq(t, view))
    }

    /// Takes the engines of a view.
    pub fn set_engines(&self, specs: &[EngineSpec], view: &Arc<View>) {
        let mut inner = lock(&self.inner);
        inner.dispatcher.placement_mut().set_engines(specs);
        inner.taken = Some(view.clone());
    }

    /// Sets how many instances share the engines.
    pub fn set_instances(&self, instances: u32) {
        let mut inner = lock(&self.inner);
        inner.dispatcher.placement_mut().set_instances(instances);
    }

    /// Takes an engine's report; none where it did not answer.
    pub fn report(&self, engine: &str, state: Option<&EngineState>, now_ms: u64) {
        let mut inner = lock(&self.inner);
        inner.dispatcher.placement_mut().report(engine, state);
        inner.pump(now_ms);
    }

    /// Takes cache events of an engine.
    pub fn cache_events(&self, engine: &str, events: &CacheEvents) {
        let mut inner = lock(&self.inner);
        inner
            .dispatcher
            .placement_mut()
            .cache_events(engine, events);
    }

    /// Takes a new request. Its verdict comes on the channel, maybe at once.
    pub fn arrive(&self, job: Job, now_ms: u64) -> Receiver<Decision> {
        let (sender, verdict) = flume::bounded(1);
        let mut inner = lock(&self.inner);
        let id = inner.next_id;
        inner.next_id += 1;
        inner.now_ms = now_ms;
        inner.waiters.insert(id, sender);
        let upstreams = inner.upstreams.clone();
        let fit = |name: &str| upstreams.usable(name, now_ms);
        let verdicts = inner.dispatcher.submit(Job { id, ..job }, &fit, now_ms);
        inner.tell(verdicts, now_ms);
        verdict
    }

    /// Sends what has room now, and refuses what can't be served in time.
    pub fn pump(&self, now_ms: u64) {
        lock(&self.inner).pump(now_ms);
    }

    /// Chooses an engine past the queue, for a request that was let in
    /// already and lost its engine.
    pub fn place_again(&self, ask: &PlacementRequest<'_>, now_ms: u64) -> Option<Choice> {
        let mut inner = lock(&self.inner);
        let placement = inner.dispatcher.placement_mut();
        let mut choice = placement.choose(ask, now_ms)?;
        placement.sent(&mut choice, ask.chain, now_ms);
        Some(choice)
    }

    /// Returns where a request would go now, and sends nothing.
    pub fn preview(&self, ask: &PlacementRequest<'_>, now_ms: u64) -> Option<Choice> {
        let mut inner = lock(&self.inner);
        inner.dispatcher.placement_mut().choose(ask, now_ms)
    }

    /// Returns how many requests wait for an engine.
    pub fn queued(&self) -> usize {
        lock(&self.inner).dispatcher.queued()
    }

    /// Notes a first token.
    pub fn first_token(&self, choice: &mut Choice, now_ms: u64) {
        let mut inner = lock(&self.inner);
        inner.dispatcher.placement_mut().first_token(choice, now_ms);
    }

    /// Notes the end of an attempt whose request broke off. Its end is taken
    /// to be the last time that the board was told.
    pub(super) fn broke_off(&self, choice: &Choice) {
        let now_ms = lock(&self.inner).now_ms;
        self.ended(choice, None, now_ms);
    }

    /// Notes the end of an attempt, and what the engine found in its cache.
    pub fn ended(&self, choice: &Choice, cached_blocks: Option<usize>, now_ms: u64) {
        let mut inner = lock(&self.inner);
        let placement = inner.dispatcher.placement_mut();
        placement.ended(choice, cached_blocks, now_ms);
        inner.pump(now_ms);
    }
}

impl Inner {
    fn pump(&mut self, now_ms: u64) {
        self.now_ms = now_ms;
        let upstreams = &self.upstreams;
        let fit = |name: &str| upstreams.usable(name, now_ms);
        let verdicts = self.dispatcher.dispatch_queued(&fit, now_ms);
        self.tell(verdicts, now_ms);
    }

    fn tell(&mut self, verdicts: Vec<Decision>, now_ms: u64) {
        for verdict in verdicts {
            let (Decision::Send { id, .. } | Decision::Refuse { id, .. }) = &verdict;
            let told = match self.waiters.remove(id) {
                Some(waiter) => waiter.send(verdict),
                None => continue,
            };
            // The request's thread is gone: its slot must not stay taken.
            if let Err(flume::SendError(Decision::Send { choice, .. })) = told {
                let placement = self.dispatcher.placement_mut();
                placement.ended(&choice, None, now_ms);
            }
        }
    }
}
