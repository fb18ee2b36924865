use {
    crate::{clock::now_ms, instance::Instance},
    mangowalk_core::pool::{Incarnation, Load},
    std::rc::Rc,
};

/// Counts a request that was read and not answered in full.
pub(super) struct OpenRequest(Rc<Instance>);

impl OpenRequest {
    pub(super) fn new(instance: &Rc<Instance>) -> OpenRequest {
        instance.open_requests.set(instance.open_requests.get() + 1);
        OpenRequest(instance.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

/// Work that lies at an engine, told to peers until it is dropped.
pub(super) struct Work {
    instance: Rc<Instance>,
    engine: Incarnation,
    load: Load,
    began_ms: u64,
    /// Whether the engine had nothing else to read.
    is_alone: bool,
}

impl Work {
    pub(super) fn begin(instance: &Rc<Instance>, engine: &Incarnation, load: Load) -> Work {
        let mut is_alone = false;
        if let Some(belief) = instance.engines.borrow_mut().get_mut(&engine.id) {
            is_alone = belief.load().requests == 0;
            belief.own.add(load);
        }
        Work {
            instance: instance.clone(),
            engine: engine.clone(),
            load,
            began_ms: now_ms(),
            is_alone,
        }
    }

    /// Notes that the prompt was read.
    pub(super) fn read(&mut self, now_ms: u64) {
        if self.is_alone {
            let took_ms = now_ms.saturating_sub(self.began_ms);
            let mut rate = self.instance.read_rate.get();
            rate.record(self.load.prefill_tokens, took_ms);
            self.instance.read_rate.set(rate);
        }
        let prompt = Load {
            prefill_tokens: self.load.prefill_tokens,
            ..Load::default()
        };
        self.load.prefill_tokens = 0;
        self.remove(prompt);
    }

    fn remove(&self, load: Load) {
        if let Some(belief) = self.instance.engines.borrow_mut().get_mut(&self.engine.id) {
            belief.own.remove(load);
        }
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        self.remove(self.load);
    }
}
