use {
    crate::instance::Instance,
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
}

impl Work {
    pub(super) fn begin(instance: &Rc<Instance>, engine: &Incarnation, load: Load) -> Work {
        if let Some(belief) = instance.engines.borrow_mut().get_mut(&engine.id) {
            belief.own.add(load);
        }
        Work {
            instance: instance.clone(),
            engine: engine.clone(),
            load,
        }
    }

    /// Notes that the prompt was read.
    pub(super) fn read(&mut self) {
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
