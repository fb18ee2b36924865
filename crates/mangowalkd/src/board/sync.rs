use {
    super::{Board, lock},
    mangowalk_core::placement::EngineSpec,
    std::sync::Arc,
};

impl Board {
    /// Tells placement of the engines in force, once for each change.
    ///
    /// A request asks for it before it chooses a version: chosen from engines
    /// that were drained a moment ago, the version could be one that no open
    /// engine serves, and the request would queue for nothing.
    pub fn sync_engines(&self) {
        let view = self.config.view();
        let mut taken = lock(&self.dispatched);
        if taken.as_ref().is_some_and(|t| Arc::ptr_eq(t, &view)) {
            return;
        }
        let specs: Vec<EngineSpec> = view
            .engines
            .values()
            .map(|e| EngineSpec {
                name: e.name.clone(),
                model: e.model.clone(),
                near: e.failure_domain == self.identity.failure_domain,
                departing: e.departing || view.draining.contains(&e.name),
            })
            .collect();
        self.dispatch.set_engines(&specs);
        *taken = Some(view);
    }
}
