/// Minimum limit of concurrent loads.
const MIN_CONCURRENT_LOADS: usize = 2;

/// Number of fast loads at the limit, with no slow one in between, before the
/// limit is raised by one.
const FAST_LOADS_TO_RAISE: u32 = 4;

/// Multiple of the typical duration above which a load counts as slow. The
/// durations come from engine reports, which lag by up to 200 ms.
const SLOW_FACTOR: f64 = 1.35;

/// Multiple of the typical duration up to which a load counts as fast.
const FAST_FACTOR: f64 = 1.2;

/// Assumed duration of a load before one was measured, in milliseconds.
const INITIAL_LOAD_MS: f64 = 500.0;

/// Adaptive limit of concurrent loads.
///
/// The storage of the weights serves only a limited number of engines at full
/// speed; beyond it, every load slows down by more than the added concurrency
/// gains. That number is unknown. The limit starts at what is needed to finish
/// in time, rises by one after a run of fast loads, and falls after the first
/// slow load to about the number that can load at full speed.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadConcurrency {
    limit: usize,
    max_limit: usize,
    /// Highest concurrency at which a load ran at full speed.
    full_speed_loads: usize,
    typical_ms: Option<f64>,
    fast_loads: u32,
}

impl Default for LoadConcurrency {
    fn default() -> LoadConcurrency {
        LoadConcurrency {
            limit: MIN_CONCURRENT_LOADS,
            max_limit: usize::MAX,
            full_speed_loads: MIN_CONCURRENT_LOADS,
            typical_ms: None,
            fast_loads: 0,
        }
    }
}

impl LoadConcurrency {
    /// Returns how many engines may load concurrently, given that `engines`
    /// engines have to finish within `within_ms` milliseconds.
    ///
    /// Raising the limit only one by one would take a fleet of 90 engines longer
    /// than the old weights may be used.
    pub fn limit(&self, engines: usize, within_ms: u64) -> usize {
        let load_ms = self.typical_ms.unwrap_or(INITIAL_LOAD_MS);
        let needed = (engines as f64 * load_ms / within_ms.max(1) as f64).ceil() as usize;
        self.limit.max(needed).min(self.max_limit)
    }

    /// Adjusts the limit by a finished load: its duration on an engine without
    /// running requests, and the maximum number of concurrent loads during it.
    pub fn record_load(&mut self, took_ms: u64, concurrent: usize) {
        let took_ms = took_ms as f64;
        let typical_ms = match self.typical_ms {
            Some(typical_ms) => typical_ms,
            None => {
                self.typical_ms = Some(took_ms);
                took_ms
            }
        };
        if concurrent <= MIN_CONCURRENT_LOADS {
            self.typical_ms = Some(typical_ms * 0.8 + took_ms * 0.2);
        }
        if concurrent > MIN_CONCURRENT_LOADS && took_ms > typical_ms * SLOW_FACTOR {
            let at_full_speed = (concurrent as f64 * typical_ms / took_ms) as usize;
            self.max_limit = at_full_speed
                .max(self.full_speed_loads)
                .min(concurrent - 1)
                .max(MIN_CONCURRENT_LOADS);
            self.limit = self.limit.min(self.max_limit);
            self.fast_loads = 0;
            return;
        }
        if took_ms > typical_ms * FAST_FACTOR {
            return;
        }
        self.full_speed_loads = self.full_speed_loads.max(concurrent.min(self.max_limit));
        self.limit = self.limit.max(self.full_speed_loads);
        if concurrent < self.limit {
            return;
        }
        self.fast_loads += 1;
        if self.fast_loads >= FAST_LOADS_TO_RAISE && self.limit < self.max_limit {
            self.limit += 1;
            self.fast_loads = 0;
        }
    }
}
