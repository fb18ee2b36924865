use super::{EngineTable, Incarnation, KnownEngine, ReplacedEngine};

/// Engines at whose addresses other ones listen.
impl EngineTable {
    /// Records that another engine answered at the address of an engine, as this instance or a
    /// peer has seen. Returns whether this is news. A report on an entry that was written again
    /// since is ignored, and so is one on another start of the engine than the listed one.
    pub fn record_replaced(&mut self, report: &ReplacedEngine, now_ms: u64) -> bool {
        let listed = self.engines.get(&report.engine);
        let is_outdated = listed.is_some_and(|engine| {
            engine.entry.incarnation.born_ms != report.born_ms
                || engine.entry.revision > report.revision
        });
        !is_outdated && self.replacements.record(report, now_ms)
    }

    /// Records that an engine has answered itself, so that it isn't replaced whatever was
    /// reported before.
    pub fn record_own_answer(&mut self, start: &Incarnation) {
        self.replacements.remove_report(start);
    }

    /// Returns whether another engine listens at the address of an engine.
    pub fn is_replaced(&self, engine: &KnownEngine, now_ms: u64) -> bool {
        self.replacements.is_replaced(&engine.entry, now_ms)
    }

    /// Returns whether another engine listens at the address of a start of an engine; `false`
    /// if this start isn't listed.
    pub fn is_start_replaced(&self, start: &Incarnation, now_ms: u64) -> bool {
        let listed = self.engines.get(&start.id);
        let listed = listed.filter(|engine| engine.entry.incarnation == *start);
        listed.is_some_and(|engine| self.is_replaced(engine, now_ms))
    }

    /// Returns the number of listed engines at whose addresses other ones listen.
    pub fn replaced_count(&self, now_ms: u64) -> usize {
        let engines = self.engines.values();
        engines
            .filter(|engine| self.is_replaced(engine, now_ms))
            .count()
    }
}
