use {
    super::{EngineLimitReport, EngineLimitSettings, Position, allowance::Allowance},
    crate::pool::Incarnation,
    derive_more::Display,
    std::collections::HashMap,
};

/// The limits that engines name, by their start: one that starts again has named none.
#[derive(Debug, Clone, Default)]
pub struct EngineLimits {
    known: HashMap<Incarnation, KnownLimit>,
}

/// What an engine has said last. That it has no limit is kept for a while, too, so that an
/// older report doesn't bring it back.
#[derive(Debug, Clone, Copy)]
struct KnownLimit {
    per_s: Option<f64>,
    /// When the engine said so.
    said_ms: u64,
    /// When it was last repeated, by the engine or a peer.
    repeated_ms: u64,
    /// What peers were told last, and when.
    told: Option<(Option<f64>, u64)>,
    allowance: Allowance,
}

/// A limit that an engine has named, changed or withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Display)]
#[display("limit_per_s={per_s:?} before={before_per_s:?}")]
pub struct LimitChange {
    /// Requests a second; `None` for no limit.
    pub per_s: Option<f64>,
    /// The value before.
    pub before_per_s: Option<f64>,
}

impl EngineLimits {
    /// Records what an engine's answer to a request sent at `sent_ms` says of its limit.
    /// Returns the change, if any.
    ///
    /// An answer without a limit to a request that was sent before the limit was last heard
    /// of may be older, and withdraws nothing.
    pub fn record_answer(
        &mut self,
        engine: &Incarnation,
        per_s: Option<f64>,
        sent_ms: u64,
        now_ms: u64,
    ) -> Option<LimitChange> {
        let said_ms = self.known.get(engine).map(|known| known.said_ms);
        let is_outdated = said_ms.is_some_and(|said_ms| sent_ms <= said_ms);
        if per_s.is_none() && (said_ms.is_none() || is_outdated) {
            return None;
        }
        self.record(engine, per_s, now_ms, now_ms)
    }

    /// Applies a peer's report, unless the engine has said something else since. Returns
    /// the change, if any.
    pub fn apply_report(&mut self, report: &EngineLimitReport, now_ms: u64) -> Option<LimitChange> {
        let per_s = report
            .per_s
            .filter(|per_s| per_s.is_finite() && *per_s >= 0.0);
        let said_ms = now_ms.saturating_sub(u64::from(report.age_ms));
        let engine = report.incarnation();
        let known = self.known.get(&engine);
        if known.is_some_and(|known| said_ms < known.said_ms) {
            return None;
        }
        let change = self.record(&engine, per_s, said_ms, now_ms);
        if let Some(known) = self.known.get_mut(&engine) {
            known.told = Some((per_s, now_ms));
        }
        change
    }

    fn record(
        &mut self,
        engine: &Incarnation,
        per_s: Option<f64>,
        said_ms: u64,
        now_ms: u64,
    ) -> Option<LimitChange> {
        let before = self.known.get(engine);
        let before_per_s = before.and_then(|known| known.per_s);
        let had_limit = before_per_s.is_some();
        let known = KnownLimit {
            per_s,
            said_ms,
            repeated_ms: now_ms,
            told: before.and_then(|known| known.told),
            allowance: before
                .filter(|_| had_limit)
                .map_or(Allowance::new(now_ms), |known| known.allowance),
        };
        self.known.insert(engine.clone(), known);
        let change = LimitChange {
            per_s,
            before_per_s,
        };
        (per_s != before_per_s).then_some(change)
    }

    /// Returns whether a request may be sent to an engine now. `locate` computes the
    /// position of this instance among all in the engine's order, or `None` while it
    /// doesn't know the others.
    pub fn admits(
        &mut self,
        engine: &Incarnation,
        settings: &EngineLimitSettings,
        locate: impl FnOnce() -> Option<Position>,
        now_ms: u64,
    ) -> bool {
        let Some(known) = self.known.get_mut(engine) else {
            return true;
        };
        match known.per_s {
            Some(per_s) => known.allowance.admits(per_s, settings, locate, now_ms),
            None => true,
        }
    }

    /// Records that a request is sent to an engine.
    pub fn record_sent(&mut self, engine: &Incarnation) {
        if let Some(known) = self.known.get_mut(engine)
            && known.per_s.is_some()
        {
            known.allowance.take();
        }
    }

    /// Returns the limit of an engine for the peers, when they were told another one or, if
    /// this instance is the first of the engine's order, when it is due to be repeated.
    pub fn report(
        &mut self,
        engine: &Incarnation,
        settings: &EngineLimitSettings,
        now_ms: u64,
    ) -> Option<EngineLimitReport> {
        let known = self.known.get_mut(engine)?;
        let interval_ms = match known.told {
            None => 0,
            Some((per_s, _)) if per_s != known.per_s => settings.min_report_interval_ms,
            Some(_) if known.allowance.is_first() => settings.report_interval_ms,
            Some(_) => return None,
        };
        if known
            .told
            .is_some_and(|(_, told_ms)| now_ms < told_ms + interval_ms)
        {
            return None;
        }
        known.told = Some((known.per_s, now_ms));
        Some(EngineLimitReport {
            engine: engine.id.clone(),
            born_ms: engine.born_ms,
            per_s: known.per_s,
            age_ms: now_ms.saturating_sub(known.said_ms) as u32,
        })
    }

    /// Forgets engines that are gone, and limits that nobody has repeated for long.
    pub fn retain(
        &mut self,
        is_known: impl Fn(&Incarnation) -> bool,
        settings: &EngineLimitSettings,
        now_ms: u64,
    ) {
        self.known.retain(|engine, known| {
            is_known(engine) && now_ms < known.repeated_ms + settings.valid_ms
        });
    }
}
