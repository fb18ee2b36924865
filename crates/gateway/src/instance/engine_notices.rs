use {
    super::Instance,
    http::StatusCode,
    mangowalk_core::{
        engine_notice::{LeavingReport, SendBarrier},
        pool::{EngineEntry, Incarnation},
    },
    mangowalk_platform::AnswerHead,
};

impl Instance {
    /// Records what an engine's answer says of the engine itself.
    pub fn record_notices(
        &self,
        engine: &EngineEntry,
        status: StatusCode,
        head: &AnswerHead,
        now_ms: u64,
    ) {
        let id = &engine.incarnation.id;
        let is_other = head.engine.as_ref().is_some_and(|named| named != id);
        if is_other {
            return;
        }
        if head.is_leaving {
            self.record_leaving(&engine.incarnation, head, now_ms);
        }
        let asks_for_rest = matches!(
            status,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        );
        if let Some(rest_ms) = head.retry_after_ms.filter(|_| asks_for_rest) {
            self.record_rest(&engine.incarnation, rest_ms, head, now_ms);
        }
    }

    /// Records that an engine says in its answer that it leaves, and tells peers.
    pub fn record_leaving(&self, engine: &Incarnation, head: &AnswerHead, now_ms: u64) {
        let settings = &self.settings.notices;
        let mut engines = self.engines.borrow_mut();
        if !engines.record_leaving(engine, settings, now_ms) {
            return;
        }
        drop(engines);
        let report = LeavingReport {
            engine: engine.id.clone(),
            born_ms: engine.born_ms,
            age_ms: 0,
        };
        self.leaving_reports.borrow_mut().push(report);
        self.wake_ups.leaving_engines.notify_one();
        self.counters.count("engine_leaving", "answer");
        log::info!(
            "event=engine_leaving request={} engine={} source=answer",
            head.request_id.as_deref().unwrap_or("none"),
            engine.id,
        );
    }

    /// Applies what a peer tells of an engine that leaves.
    pub fn receive_leaving_report(&self, report: &LeavingReport, now_ms: u64) {
        let settings = &self.settings.notices;
        let mut engines = self.engines.borrow_mut();
        if engines.apply_leaving_report(report, settings, now_ms) {
            self.counters.count("engine_leaving", "peer");
            log::info!("event=engine_leaving engine={} source=peer", report.engine);
        }
    }

    fn record_rest(&self, engine: &Incarnation, rest_ms: u64, head: &AnswerHead, now_ms: u64) {
        let settings = &self.settings.notices;
        let mut engines = self.engines.borrow_mut();
        if !engines.record_rest(engine, rest_ms, settings, now_ms) {
            return;
        }
        drop(engines);
        self.counters.count("engine_rest", "asked");
        log::info!(
            "event=engine_rest request={} engine={} rest_ms={rest_ms}",
            head.request_id.as_deref().unwrap_or("none"),
            engine.id,
        );
    }

    /// Returns metrics of the engines that have said something of themselves, in the
    /// Prometheus text format.
    pub fn render_notices(&self, now_ms: u64) -> String {
        let engines = self.engines.borrow();
        let summary = engines.notices().summary(now_ms);
        format!(
            "mangowalk_engines_resting {}\nmangowalk_longest_rest_ms {}\n\
             mangowalk_engines_leaving {}\nmangowalk_engines_replaced {}\n",
            summary.resting,
            summary.longest_rest_ms,
            summary.leaving,
            engines.replaced_count(now_ms),
        )
    }

    /// Returns why a request that arrived at `arrived_ms` must not be sent to an engine now,
    /// or `None` if it may. Every send of a request asks it last.
    pub fn send_barrier(
        &self,
        engine: &Incarnation,
        arrived_ms: u64,
        now_ms: u64,
    ) -> Option<SendBarrier> {
        let engines = self.engines.borrow();
        if engines.is_start_replaced(engine, now_ms) {
            return Some(SendBarrier::Replaced);
        }
        let notices = engines.notices();
        notices.barrier(engine, arrived_ms, &self.settings.notices, now_ms)
    }
}
