use {
    super::Instance,
    mangowalk_core::{capacity::PaceReport, pool::EngineEntry},
    mangowalk_platform::AnswerHead,
    std::fmt::Write,
};

/// Maximum number of slowed engines that the metrics name.
const MAX_RENDERED: usize = 64;

impl Instance {
    /// Records the pace that an engine names in its answer, and tells peers if it differs enough
    /// from what they assume.
    pub fn record_pace(&self, engine: &EngineEntry, head: &AnswerHead, now_ms: u64) {
        let incarnation = &engine.incarnation;
        let is_other = head.engine.as_ref().is_some_and(|id| *id != incarnation.id);
        let Some(load) = head.load.filter(|_| !is_other) else {
            return;
        };
        let Some(pace_percent) = load.pace_percent else {
            return;
        };
        let settings = &self.settings.paces;
        let mut engines = self.engines.borrow_mut();
        let report = engines.record_pace(incarnation, pace_percent, settings, now_ms);
        drop(engines);
        let Some(report) = report else {
            return;
        };
        self.pace_reports.borrow_mut().push(report);
        self.wake_ups.engine_paces.notify_one();
        self.counters.count("engine_pace", "answer");
        log::info!(
            "event=engine_pace engine={} pace_percent={} named_percent={pace_percent} running={} \
             waiting={} request={}",
            incarnation.id,
            report.pace_percent,
            load.running,
            load.waiting,
            head.request_id.as_deref().unwrap_or("none"),
        );
    }

    /// Applies what a peer tells of the pace of engines.
    pub fn receive_paces(&self, reports: &[PaceReport], now_ms: u64) {
        let mut engines = self.engines.borrow_mut();
        for report in reports {
            let reported = engines.apply_pace_report(report, &self.settings.paces, now_ms);
            let Some(engine) = reported else {
                self.counters.count("engine_pace", "dropped");
                continue;
            };
            self.counters.count("engine_pace", "peer");
            log::debug!(
                "event=engine_pace_told engine={} pace_percent={} age_ms={}",
                engine.entry.incarnation.id,
                report.pace_percent,
                report.age_ms,
            );
        }
    }

    /// Returns metrics of the engines that are slower than usual, in the Prometheus text format.
    /// Names `MAX_RENDERED` of them.
    pub fn render_paces(&self, now_ms: u64) -> String {
        let engines = self.engines.borrow();
        let slowed = engines.slowed_engines(&self.settings.paces, now_ms);
        let mut text = String::new();
        let mut count = 0;
        for engine in slowed {
            count += 1;
            if count > MAX_RENDERED {
                continue;
            }
            let id = engine.entry.incarnation.id.escape_default();
            let percent = engine.pace.percent(now_ms);
            let age_ms = engine.pace.age_ms(now_ms).unwrap_or_default();
            // Writing to a string can't fail.
            let _ = writeln!(
                text,
                "mangowalk_engine_pace_percent{{engine=\"{id}\"}} {percent:.0}\n\
                 mangowalk_engine_pace_age_ms{{engine=\"{id}\"}} {age_ms}"
            );
        }
        let _ = writeln!(text, "mangowalk_engines_slowed {count}");
        text
    }
}
