use {
    crate::{clock::now_ms, instance::Instance},
    mangowalk_core::pool::{Incarnation, Load, PrefillSample},
    std::rc::Rc,
};

/// Counts a request as open until it is dropped, that is until the request is
/// answered in full or its caller leaves.
pub(super) struct OpenRequestGuard(Rc<Instance>);

impl OpenRequestGuard {
    pub(super) fn new(instance: &Rc<Instance>) -> OpenRequestGuard {
        instance.open_requests.set(instance.open_requests.get() + 1);
        OpenRequestGuard(instance.clone())
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

/// Counts the load of one request at an engine until it is dropped. The
/// instance reports its load at each engine to its peers.
pub(super) struct LoadGuard {
    instance: Rc<Instance>,
    engine: Incarnation,
    load: Load,
    began_ms: u64,
    /// Whether the engine had no other request when this one was sent. Only
    /// then does the time to the first bytes show the prefill rate.
    engine_was_idle: bool,
    /// Whether the engine had a free slot and no other prompt to read, as far as was known. The
    /// same, for engines that tell their pace.
    engine_could_read: bool,
}

impl LoadGuard {
    /// Adds the load to what this instance has at the engine, until the guard is
    /// dropped.
    pub(super) fn begin(instance: &Rc<Instance>, engine: &Incarnation, load: Load) -> LoadGuard {
        let (mut engine_was_idle, mut engine_could_read) = (false, false);
        if let Some(known_engine) = instance.engines.borrow_mut().get_mut(&engine.id) {
            let before = known_engine.load();
            engine_was_idle = before.requests == 0;
            engine_could_read =
                before.prefill_tokens == 0 && before.requests < known_engine.entry.slots;
            known_engine.own.add(load);
        }
        LoadGuard {
            instance: instance.clone(),
            engine: engine.clone(),
            load,
            began_ms: now_ms(),
            engine_was_idle,
            engine_could_read,
        }
    }

    /// Returns when the request was sent.
    pub(super) fn began_ms(&self) -> u64 {
        self.began_ms
    }

    /// Records that the engine has prefilled the prompt: removes its tokens from
    /// the load and, if the time shows it, updates the instance's prefill rate.
    pub(super) fn record_prefill(&mut self, now_ms: u64) {
        self.record_rate(now_ms);
        let prompt = Load {
            prefill_tokens: self.load.prefill_tokens,
            ..Load::default()
        };
        self.load.prefill_tokens = 0;
        self.remove(prompt);
    }

    fn record_rate(&self, now_ms: u64) {
        let took_ms = now_ms.saturating_sub(self.began_ms);
        let tokens = self.load.prefill_tokens;
        let engines = self.instance.engines.borrow();
        let known_engine = engines.get(&self.engine.id);
        let paced = known_engine.filter(|known_engine| known_engine.pace.is_told());
        let mut rate = self.instance.prefill_rate.get();
        match paced {
            Some(paced) if self.engine_could_read => rate.record_paced(PrefillSample {
                tokens,
                took_ms,
                slowdown: paced.slowdown(now_ms),
            }),
            None if self.engine_was_idle => rate.record(tokens, took_ms),
            _ => {}
        }
        self.instance.prefill_rate.set(rate);
    }

    fn remove(&self, load: Load) {
        if let Some(known_engine) = self.instance.engines.borrow_mut().get_mut(&self.engine.id) {
            known_engine.own.remove(load);
        }
        self.instance.waiting.wake(now_ms());
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.remove(self.load);
    }
}
