use super::{PaceReport, PaceSettings};

/// The pace at which engines usually work, in percent.
const USUAL_PERCENT: f64 = 100.0;

/// A pace and when it applied.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Figure {
    percent: f64,
    at_ms: u64,
    /// Time up to which the pace counts in full.
    fresh_until_ms: u64,
    /// Time from which the usual pace is assumed.
    valid_until_ms: u64,
}

impl Figure {
    fn new(percent: f64, at_ms: u64, settings: &PaceSettings) -> Figure {
        Figure {
            percent: settings.assumed_percent(percent),
            at_ms,
            fresh_until_ms: at_ms + settings.fresh_ms,
            valid_until_ms: at_ms + settings.valid_ms,
        }
    }

    /// Returns the pace that is assumed at a time.
    fn percent(&self, now_ms: u64) -> f64 {
        if now_ms <= self.fresh_until_ms {
            return self.percent;
        }
        let left_ms = self.valid_until_ms.saturating_sub(now_ms) as f64;
        let fading_ms = self.valid_until_ms.saturating_sub(self.fresh_until_ms);
        let weight = left_ms / fading_ms.max(1) as f64;
        USUAL_PERCENT + (self.percent - USUAL_PERCENT) * weight
    }
}

/// Smoothed pace of one start of an engine: the time that work takes there, as a share of the
/// usual time.
///
/// Addresses engines whose machine is slower than usual for seconds. All instances smooth one
/// common figure: each applies what it sees itself to what the peers told last.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EnginePace {
    known: Option<Figure>,
    /// What peers were told last, by any instance.
    told: Option<Figure>,
    /// When this instance last told peers.
    reported_ms: Option<u64>,
}

impl EnginePace {
    /// Records the pace that the engine named in an answer. Returns the figure to tell peers,
    /// in percent, if it differs enough from what they assume.
    pub fn record(
        &mut self,
        pace_percent: u32,
        settings: &PaceSettings,
        now_ms: u64,
    ) -> Option<u32> {
        if !settings.is_believed(pace_percent) {
            return None;
        }
        let before = self.percent(now_ms);
        let weight = self.weight(settings, now_ms);
        let percent = before + (f64::from(pace_percent) - before) * weight;
        let figure = Figure::new(percent, now_ms, settings);
        self.known = Some(figure);
        if !self.is_worth_telling(figure.percent, settings, now_ms) {
            return None;
        }
        self.told = Some(figure);
        self.reported_ms = Some(now_ms);
        Some(figure.percent.round() as u32)
    }

    /// Applies the report of a peer. Returns whether it had an effect: it is believable, valid
    /// and newer than what was known.
    pub fn apply_report(
        &mut self,
        report: &PaceReport,
        settings: &PaceSettings,
        now_ms: u64,
    ) -> bool {
        let age_ms = u64::from(report.age_ms);
        if !settings.is_believed(report.pace_percent) || age_ms >= settings.valid_ms {
            return false;
        }
        let at_ms = now_ms.saturating_sub(age_ms);
        let figure = Figure::new(f64::from(report.pace_percent), at_ms, settings);
        if self.told.is_none_or(|told| told.at_ms <= at_ms) {
            self.told = Some(figure);
        }
        let is_newer = self.known.is_none_or(|known| known.at_ms <= at_ms);
        if is_newer {
            self.known = Some(figure);
        }
        is_newer
    }

    /// Returns whether the engine or a peer has named a pace since the engine started.
    pub fn is_told(&self) -> bool {
        self.known.is_some()
    }

    /// Returns the assumed pace in percent; 100 if none was named lately.
    pub fn percent(&self, now_ms: u64) -> f64 {
        self.known
            .map_or(USUAL_PERCENT, |known| known.percent(now_ms))
    }

    /// Returns the time since the last figure; `None` if there is none that is valid.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let valid = self.known.filter(|known| now_ms < known.valid_until_ms);
        valid.map(|known| now_ms.saturating_sub(known.at_ms))
    }

    /// Returns by how much longer work takes than usual: 1.0 as usual, 3.0 at a third of the
    /// speed.
    pub fn slowdown(&self, now_ms: u64) -> f64 {
        self.percent(now_ms) / USUAL_PERCENT
    }

    fn weight(&self, settings: &PaceSettings, now_ms: u64) -> f64 {
        let Some(known) = self.known else {
            return settings.max_weight;
        };
        let elapsed_ms = now_ms.saturating_sub(known.at_ms) as f64;
        let weight = 1.0 - (-elapsed_ms / settings.smoothing_ms.max(1) as f64).exp();
        weight.min(settings.max_weight)
    }

    fn is_worth_telling(&self, percent: f64, settings: &PaceSettings, now_ms: u64) -> bool {
        let interval_ms = settings.report_interval_ms;
        let is_due = |reported_ms: u64| now_ms >= reported_ms + interval_ms;
        if !self.reported_ms.is_none_or(is_due) {
            return false;
        }
        let told_percent = self.told.map_or(USUAL_PERCENT, |told| told.percent(now_ms));
        let ratio = percent / told_percent;
        ratio.max(1.0 / ratio) >= settings.report_ratio
    }
}
