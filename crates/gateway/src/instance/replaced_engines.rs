use {
    super::Instance,
    mangowalk_core::pool::{EngineEntry, ReplacedEngine},
};

impl Instance {
    /// Records that another engine answered at the address of an entry, and tells peers.
    pub fn record_replaced(&self, entry: &EngineEntry, now_ms: u64) {
        let report = ReplacedEngine::of(entry);
        let mut engines = self.engines.borrow_mut();
        if !engines.record_replaced(&report, now_ms) {
            return;
        }
        drop(engines);
        self.count_replaced(&report, "answer");
        self.replaced_reports.borrow_mut().push(report);
        self.wake_ups.replaced_engines.notify_one();
    }

    /// Applies what a peer tells of engines at whose addresses others listen.
    pub fn receive_replaced(&self, reports: &[ReplacedEngine], now_ms: u64) {
        for report in reports {
            let mut engines = self.engines.borrow_mut();
            if engines.record_replaced(report, now_ms) {
                self.count_replaced(report, "peer");
            }
        }
    }

    fn count_replaced(&self, report: &ReplacedEngine, source: &'static str) {
        self.counters.count("engine_replaced", source);
        log::info!(
            "event=engine_replaced engine={} born_ms={} revision={} source={source}",
            report.engine,
            report.born_ms,
            report.revision,
        );
    }
}
