use {
    super::{EngineTable, Incarnation, KnownEngine},
    crate::engine_notice::{EngineNotices, LeavingReport, NoticeSettings},
};

/// What the engines have said of themselves.
impl EngineTable {
    /// Returns the notices of the engines, listed or not.
    pub fn notices(&self) -> &EngineNotices {
        &self.notices
    }

    /// Records that an engine wants no requests of this instance for `rest_ms`. Returns whether
    /// its rest ends later than before.
    pub fn record_rest(
        &mut self,
        engine: &Incarnation,
        rest_ms: u64,
        settings: &NoticeSettings,
        now_ms: u64,
    ) -> bool {
        let is_later = self.notices.record_rest(engine, rest_ms, settings, now_ms);
        self.prune_notices(settings, now_ms);
        is_later
    }

    /// Records that an engine has said that it leaves. Returns whether this is news.
    pub fn record_leaving(
        &mut self,
        engine: &Incarnation,
        settings: &NoticeSettings,
        now_ms: u64,
    ) -> bool {
        let is_news = self.notices.record_leaving(engine, settings, now_ms);
        self.prune_notices(settings, now_ms);
        is_news
    }

    /// Records that a peer has heard from an engine that it leaves. Returns whether this is
    /// news. A report on another start of the engine than the listed one is ignored, as the
    /// engine may have started again since.
    pub fn apply_leaving_report(
        &mut self,
        report: &LeavingReport,
        settings: &NoticeSettings,
        now_ms: u64,
    ) -> bool {
        let incarnation = report.incarnation();
        let listed = self.engines.get(&report.engine);
        if listed.is_some_and(|engine| engine.entry.incarnation != incarnation) {
            return false;
        }
        let is_news = self.notices.apply_report(report, settings, now_ms);
        self.prune_notices(settings, now_ms);
        is_news
    }

    fn prune_notices(&mut self, settings: &NoticeSettings, now_ms: u64) {
        if self.notices.len() > self.engines.len() + settings.max_unlisted {
            let engines = &self.engines;
            let is_listed = |id: &str| engines.contains_key(id);
            self.notices.prune(is_listed, settings, now_ms);
        }
    }

    /// Returns the time until the first engine of a service that would be used otherwise ends
    /// its rest; `None` unless all of them rest. `is_usable` tells which would be used.
    pub fn all_rest_for_ms(
        &self,
        service: &str,
        is_usable: impl Fn(&KnownEngine) -> bool,
        settings: &NoticeSettings,
        now_ms: u64,
    ) -> Option<u64> {
        let usable = self
            .accepting_engines(service, now_ms)
            .filter(|engine| is_usable(engine));
        let rests = usable.map(|engine| {
            let incarnation = &engine.entry.incarnation;
            self.notices.rest_left_ms(incarnation, settings, now_ms)
        });
        let rests: Option<Vec<u64>> = rests.collect();
        rests?.into_iter().min()
    }
}
