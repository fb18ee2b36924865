use {
    super::{EngineTable, Incarnation, KnownEngine},
    crate::capacity::{PaceReport, PaceSettings},
};

/// The paces at which the engines work.
impl EngineTable {
    /// Records the pace that a start of an engine named in an answer. Returns the report to
    /// peers if they are to be told.
    pub fn record_pace(
        &mut self,
        engine: &Incarnation,
        pace_percent: u32,
        settings: &PaceSettings,
        now_ms: u64,
    ) -> Option<PaceReport> {
        let known_engine = self.get_start_mut(engine)?;
        let pace_percent = known_engine.pace.record(pace_percent, settings, now_ms)?;
        Some(PaceReport {
            start: engine.short_hash(),
            pace_percent,
            age_ms: 0,
        })
    }

    /// Applies what a peer tells of the pace of an engine. Returns the engine if this is news. A
    /// report on another start of an engine than the listed one is dropped.
    pub fn apply_pace_report(
        &mut self,
        report: &PaceReport,
        settings: &PaceSettings,
        now_ms: u64,
    ) -> Option<&KnownEngine> {
        let id = self.ids_by_start.get(&report.start)?;
        let reported = self.engines.get_mut(id)?;
        let is_news = reported.pace.apply_report(report, settings, now_ms);
        is_news.then_some(&*reported)
    }

    /// Returns the engines whose pace differs from the usual one so much that peers are told of
    /// it.
    pub fn slowed_engines(
        &self,
        settings: &PaceSettings,
        now_ms: u64,
    ) -> impl Iterator<Item = &KnownEngine> {
        let report_ratio = settings.report_ratio;
        let engines = self.engines.values();
        engines.filter(move |engine| engine.slowdown(now_ms) >= report_ratio)
    }
}
