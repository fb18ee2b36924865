use {super::WeightsSettings, std::collections::VecDeque};

/// Assumed share of the time for which requests are sent to older weights that
/// one load takes. All engines have to load within that time, a limited number
/// at once, so longer loads need a longer time.
const ASSUMED_LOAD_SHARE: f64 = 0.0735;

/// Share of a model's engines that load concurrently before a load was measured.
/// Too many cost less than too few: at twice the full-speed number the storage
/// still delivers 0.7 of its throughput, at half of it 0.5.
const INITIAL_SHARE: f64 = 0.125;

/// Minimum limit of concurrent loads.
const MIN_PLACES: usize = 2;

/// Number of measured loads from which these, and not the settings, tell how
/// long loads take.
const MIN_MEASURED: u32 = 4;

/// Number of last loads whose median tells which durations are plausible.
const RECENT: usize = 8;

/// Share of the median of the recent loads below which a duration is implausible.
/// An engine that restarts with the new weights during its load seems to have
/// loaded them in a fraction of the time.
const MIN_PLAUSIBLE_SHARE: f64 = 0.6;

/// Number of loads at the limit whose median duration decides on a new limit.
/// One load alone may be slow because of its engine's machine.
const WINDOW: usize = 5;

/// Median duration in multiples of the fastest load up to which the limit is
/// raised. Reports lag by up to 200 ms, in the mean 5 % of a load of 1.8 s.
const RAISE_FACTOR: f64 = 1.09;

/// Median duration in multiples of the fastest load from which the limit is
/// lowered.
const LOWER_FACTOR: f64 = 1.15;

/// Share of the limit by which it is raised until loads were slow once.
const RAISE_SHARE: f64 = 0.1;

/// Number of decisions at full speed below a limit that was slow after which that
/// limit may be tried again, as the storage may serve more since.
const WINDOWS_TO_RETRY: u32 = 12;

/// Share of the difference to a slower load beside few others by which the fastest
/// duration rises, so that it follows weights that take longer to load.
const FASTEST_RISE: f64 = 0.05;

/// Multiple of the fastest duration above which a load beside few others is slow
/// because of its engine's machine.
const MAX_RISE_FACTOR: f64 = 1.5;

/// A load that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinishedLoad {
    /// When the engine accepted the order, in milliseconds.
    pub ordered_ms: u64,
    /// When its end was reported, in milliseconds.
    pub ended_ms: u64,
    /// Maximum number of concurrent loads during it.
    pub concurrent: usize,
}

/// Loading places for loads that take longer than the time after which answers on
/// older weights lose value.
///
/// Addresses changes of 60 to 90 engines at 1.8 s a load, where the storage serves
/// an unknown number of 12 to 18 engines at full speed. Unlike
/// [`super::LoadConcurrency`] it begins with a share of the engines and decides on
/// the median of several loads, so that one slow engine doesn't lower the limit.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct LoadingPlaces {
    fastest_ms: Option<f64>,
    /// Durations of the last loads, the oldest first.
    recent_ms: VecDeque<u64>,
    measured: u32,
    limit: Option<usize>,
    /// Lowest limit at which loads were slow.
    slow_limit: Option<usize>,
    /// Limit and median duration at the last decision, if that lowered the limit.
    lowered_from: Option<(usize, f64)>,
    /// Number of decisions that `slow_limit` has kept from raising the limit.
    held_back: u32,
    /// When the limit was last changed, in milliseconds. Loads that were ordered
    /// before ran beside another number of loads.
    changed_ms: u64,
    /// Duration of the last load.
    last_ms: Option<u64>,
    /// Durations of the last loads at the limit.
    window_ms: Vec<u64>,
}

impl LoadingPlaces {
    /// Returns the expected duration of a load in milliseconds.
    pub fn expected_load_ms(&self, settings: &WeightsSettings) -> u64 {
        let assumed_ms = settings.dispatch_until_ms as f64 * ASSUMED_LOAD_SHARE;
        let measured_ms = self.fastest_ms.filter(|_| self.measured >= MIN_MEASURED);
        measured_ms.unwrap_or(assumed_ms) as u64
    }

    /// Returns the duration in milliseconds after which a load that is under way has
    /// ended, judged by the last one: loads beyond the full-speed number take
    /// longer than expected.
    pub fn expected_end_ms(&self, settings: &WeightsSettings) -> u64 {
        let expected_ms = self.expected_load_ms(settings);
        self.last_ms
            .filter(|last_ms| *last_ms as f64 > expected_ms as f64 * LOWER_FACTOR)
            .unwrap_or(expected_ms)
    }

    /// Returns whether a load takes longer than the time after which answers on
    /// older weights lose value. No engine has the new weights by then, and it
    /// matters which engines serve meanwhile. Shorter loads are planned by
    /// [`super::plan`] alone.
    pub fn is_long(&self, settings: &WeightsSettings) -> bool {
        self.expected_load_ms(settings) > settings.penalty_after_ms
    }

    /// Returns how many of `engines` engines may load concurrently, given that all
    /// have to finish within `within_ms`.
    pub fn limit(&self, engines: usize, within_ms: u64, settings: &WeightsSettings) -> usize {
        let initial = (engines as f64 * INITIAL_SHARE).ceil() as usize;
        let limit = self.limit.unwrap_or(initial).max(MIN_PLACES);
        let required = self.required(engines, within_ms, settings);
        match self.slow_limit {
            Some(slow_limit) => limit.max(required.min(slow_limit - 1)),
            None => limit.max(required),
        }
    }

    /// Returns how many of `engines` engines have to load concurrently so that all
    /// finish within `within_ms`.
    pub fn required(&self, engines: usize, within_ms: u64, settings: &WeightsSettings) -> usize {
        let load_ms = self.expected_load_ms(settings) as f64;
        (engines as f64 * load_ms / within_ms.max(1) as f64).ceil() as usize
    }

    /// Adjusts the limit by a finished load on an engine without running requests,
    /// given the number of the model's engines and the time for a change.
    pub fn record_load(
        &mut self,
        load: &FinishedLoad,
        engines: usize,
        within_ms: u64,
        settings: &WeightsSettings,
    ) {
        let limit = self.limit(engines, within_ms, settings);
        self.measured = self.measured.saturating_add(1);
        self.record_fastest(load, limit);
        self.last_ms = Some(load.ended_ms.saturating_sub(load.ordered_ms));
        if load.concurrent < limit || load.ordered_ms < self.changed_ms {
            return;
        }
        self.window_ms.push(load.ended_ms - load.ordered_ms);
        if self.window_ms.len() < WINDOW {
            return;
        }
        let mut window_ms = std::mem::take(&mut self.window_ms);
        window_ms.sort_unstable();
        let median_ms = window_ms[window_ms.len() / 2] as f64;
        let factor = median_ms / self.fastest_ms.unwrap_or(median_ms).max(1.0);
        let lowered_from = self.lowered_from.take();
        let decided = if factor >= LOWER_FACTOR {
            self.slowed(limit, load.concurrent, median_ms, lowered_from)
        } else if factor <= RAISE_FACTOR {
            self.raised(limit)
        } else {
            limit
        };
        if decided != limit || self.limit.is_none() {
            self.limit = Some(decided);
            self.changed_ms = load.ended_ms;
        }
    }

    fn record_fastest(&mut self, load: &FinishedLoad, limit: usize) {
        let took_ms = load.ended_ms.saturating_sub(load.ordered_ms);
        if self.recent_ms.len() == RECENT {
            self.recent_ms.pop_front();
        }
        self.recent_ms.push_back(took_ms);
        let took_ms = took_ms as f64;
        let min_plausible_ms = self.min_plausible_ms();
        // The first loads may themselves turn out to be implausible.
        let known_ms = self.fastest_ms.filter(|_| self.measured > RECENT as u32);
        let Some(fastest_ms) = known_ms else {
            let recent_ms = self.recent_ms.iter().map(|took_ms| *took_ms as f64);
            self.fastest_ms = recent_ms
                .filter(|took_ms| *took_ms >= min_plausible_ms)
                .min_by(f64::total_cmp);
            return;
        };
        if took_ms < min_plausible_ms {
            return;
        }
        let tells_rise = 2 * load.concurrent <= limit && took_ms <= fastest_ms * MAX_RISE_FACTOR;
        let rise = if tells_rise { FASTEST_RISE } else { 0.0 };
        let risen_ms = fastest_ms + (took_ms - fastest_ms) * rise;
        self.fastest_ms = Some(took_ms.min(risen_ms));
    }

    fn min_plausible_ms(&self) -> f64 {
        let mut sorted_ms: Vec<u64> = self.recent_ms.iter().copied().collect();
        sorted_ms.sort_unstable();
        let median_ms = sorted_ms.get(sorted_ms.len() / 2).copied();
        median_ms.unwrap_or_default() as f64 * MIN_PLAUSIBLE_SHARE
    }

    /// Returns the new limit after slow loads, given the limit and median duration before
    /// if that was lowered just now.
    fn slowed(
        &mut self,
        limit: usize,
        concurrent: usize,
        median_ms: f64,
        lowered_from: Option<(usize, f64)>,
    ) -> usize {
        let before = lowered_from.filter(|before| takes_as_long(limit, median_ms, *before));
        if let Some((limit_before, _)) = before {
            self.fastest_ms = Some(median_ms);
            self.slow_limit = None;
            return limit_before;
        }
        self.lowered_from = Some((limit, median_ms));
        let factor = median_ms / self.fastest_ms.unwrap_or(median_ms).max(1.0);
        self.lowered(limit, concurrent, factor)
    }

    fn lowered(&mut self, limit: usize, concurrent: usize, factor: f64) -> usize {
        self.slow_limit = Some(limit.max(MIN_PLACES + 1));
        self.held_back = 0;
        // Loads slow down by more than the added concurrency, so this may fall
        // below the full-speed number; raising finds it again.
        let at_full_speed = (concurrent as f64 / factor).round() as usize;
        at_full_speed.min(limit - 1).max(MIN_PLACES)
    }

    fn raised(&mut self, limit: usize) -> usize {
        let Some(slow_limit) = self.slow_limit else {
            return limit + (limit as f64 * RAISE_SHARE).ceil() as usize;
        };
        if limit + 1 < slow_limit {
            return limit + 1;
        }
        self.held_back += 1;
        if self.held_back < WINDOWS_TO_RETRY {
            return limit;
        }
        self.held_back = 0;
        self.slow_limit = Some(slow_limit + 1);
        limit + 1
    }
}

/// Returns whether loads at a lowered limit take about as long as at the limit before,
/// both with their median durations in milliseconds.
///
/// Beyond the full-speed number, durations fall at least in proportion to the limit.
/// Where they fall by less than half of that and are still slow, the weights themselves
/// take longer to load.
fn takes_as_long(limit: usize, median_ms: f64, (before, before_ms): (usize, f64)) -> bool {
    let proportion = limit as f64 / before.max(1) as f64;
    median_ms > before_ms * (1.0 + proportion) / 2.0
}
