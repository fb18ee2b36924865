use {super::Instance, mangowalk_core::pool::Incarnation};

impl Instance {
    /// Records what an engine's answer to a request sent at `sent_ms` says of the limit on
    /// its requests.
    pub fn record_engine_limit(
        &self,
        engine: &Incarnation,
        per_s: Option<f64>,
        sent_ms: u64,
        now_ms: u64,
    ) {
        let mut limits = self.engine_limits.borrow_mut();
        let Some(change) = limits.record_answer(engine, per_s, sent_ms, now_ms) else {
            return;
        };
        let kind = match change.per_s {
            Some(_) => "named",
            None => "withdrawn",
        };
        self.counters.count("engine_limit", kind);
        log::info!("event=engine_limit engine={} {change}", engine.id);
    }
}
