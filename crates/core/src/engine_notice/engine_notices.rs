use {
    super::{LeavingReport, NoticeSettings, SendBarrier, notice::Notice},
    crate::pool::Incarnation,
    std::collections::HashMap,
};

/// What engines have said of themselves, by their IDs.
///
/// It outlasts the engines' entries in the list, which may expire and come back. Only another
/// start of the engine ends it, or the time that the engine named.
#[derive(Debug, Clone, Default)]
pub struct EngineNotices {
    by_engine: HashMap<String, Notice>,
}

impl EngineNotices {
    /// Records that an engine wants no requests of this instance for `rest_ms`. Returns whether
    /// its rest ends later than before; an earlier end changes nothing.
    pub fn record_rest(
        &mut self,
        engine: &Incarnation,
        rest_ms: u64,
        settings: &NoticeSettings,
        now_ms: u64,
    ) -> bool {
        if rest_ms == 0 {
            return false;
        }
        self.notice_mut(engine, settings)
            .record_rest(rest_ms, now_ms)
    }

    /// Records that an engine has said since `since_ms` that it leaves. Returns whether this is
    /// news.
    pub fn record_leaving(
        &mut self,
        engine: &Incarnation,
        settings: &NoticeSettings,
        since_ms: u64,
    ) -> bool {
        self.notice_mut(engine, settings).record_leaving(since_ms)
    }

    /// Records what a peer tells of an engine that leaves. Returns whether this is news.
    pub fn apply_report(
        &mut self,
        report: &LeavingReport,
        settings: &NoticeSettings,
        now_ms: u64,
    ) -> bool {
        let since_ms = now_ms.saturating_sub(u64::from(report.age_ms));
        self.record_leaving(&report.incarnation(), settings, since_ms)
    }

    fn notice_mut(&mut self, engine: &Incarnation, settings: &NoticeSettings) -> &mut Notice {
        let notice = self
            .by_engine
            .entry(engine.id.clone())
            .or_insert(Notice::new(engine.born_ms));
        *notice = notice.of_start(engine.born_ms, settings);
        notice
    }

    fn notice(&self, engine: &Incarnation, settings: &NoticeSettings) -> Option<Notice> {
        let notice = self.by_engine.get(&engine.id)?;
        Some(notice.of_start(engine.born_ms, settings))
    }

    /// Returns why a request that arrived at `arrived_ms` must not be sent to an engine now, or
    /// `None` if it may.
    pub fn barrier(
        &self,
        engine: &Incarnation,
        arrived_ms: u64,
        settings: &NoticeSettings,
        now_ms: u64,
    ) -> Option<SendBarrier> {
        if let Some(left_ms) = self.rest_left_ms(engine, settings, now_ms) {
            return Some(SendBarrier::Resting { left_ms });
        }
        let since_ms = self.leaving_since_ms(engine)?;
        let is_late = arrived_ms > since_ms.saturating_add(settings.last_use_ms);
        is_late.then(|| SendBarrier::Leaving {
            ago_ms: now_ms.saturating_sub(since_ms),
        })
    }

    /// Returns the time until the end of an engine's rest; `None` if it doesn't rest.
    pub fn rest_left_ms(
        &self,
        engine: &Incarnation,
        settings: &NoticeSettings,
        now_ms: u64,
    ) -> Option<u64> {
        let until_ms = self.notice(engine, settings)?.rest_until_ms(now_ms)?;
        Some(until_ms - now_ms)
    }

    /// Returns since when an engine has said that it leaves; `None` if it hasn't.
    pub fn leaving_since_ms(&self, engine: &Incarnation) -> Option<u64> {
        let notice = self.by_engine.get(&engine.id)?;
        // Only a rest depends on the settings.
        let notice = notice.of_start(engine.born_ms, &NoticeSettings::default());
        notice.leaving_since_ms()
    }

    /// Forgets rests that are over and, beyond the number that the settings allow, the oldest
    /// notices of engines that the list lacks.
    pub fn prune(
        &mut self,
        is_listed: impl Fn(&str) -> bool,
        settings: &NoticeSettings,
        now_ms: u64,
    ) {
        self.by_engine.retain(|_, notice| !notice.is_void(now_ms));
        let unlisted = self.by_engine.iter().filter(|(id, _)| !is_listed(id));
        let mut oldest: Vec<(u64, String)> = unlisted
            .map(|(id, notice)| (notice.heard_ms(), id.clone()))
            .collect();
        let excess = oldest.len().saturating_sub(settings.max_unlisted);
        oldest.sort_unstable();
        for (_, id) in oldest.into_iter().take(excess) {
            self.by_engine.remove(&id);
        }
    }

    /// Returns the number of engines of which something is kept.
    pub fn len(&self) -> usize {
        self.by_engine.len()
    }

    /// Returns whether nothing is kept of any engine.
    pub fn is_empty(&self) -> bool {
        self.by_engine.is_empty()
    }

    /// Returns the number of engines that rest, with the time until the last one's end, and
    /// the number of those that leave.
    pub fn summary(&self, now_ms: u64) -> NoticeSummary {
        let mut summary = NoticeSummary::default();
        for notice in self.by_engine.values() {
            if let Some(until_ms) = notice.rest_until_ms(now_ms) {
                summary.resting += 1;
                summary.longest_rest_ms = summary.longest_rest_ms.max(until_ms - now_ms);
            }
            summary.leaving += usize::from(notice.leaving_since_ms().is_some());
        }
        summary
    }
}

/// Engines that have said something of themselves, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct NoticeSummary {
    /// Engines that rest.
    pub resting: usize,
    /// Time until the last rest ends.
    pub longest_rest_ms: u64,
    /// Engines that leave.
    pub leaving: usize,
}
