/// Loads at once that are always tried.
const MIN_CONCURRENT_LOADS: usize = 2;

/// Loads in a row that must be quick before one more is tried.
const FAST_LOADS_TO_RAISE: u32 = 4;

/// Part of the usual time above which a load counts as slowed. Times are
/// read off reports that lie up to two hundred milliseconds behind.
const SLOW_FACTOR: f64 = 1.35;

/// Part of the usual time below which a load counts as quick.
const FAST_FACTOR: f64 = 1.2;

/// Time that a load is taken to last before one was seen.
const INITIAL_LOAD_MS: f64 = 500.0;

/// Finds how many engines may load at once.
///
/// Where weights lie, only so many engines read them at full speed; beyond
/// that each load takes longer than one fewer at once would save. How many it
/// is isn't told. An orderer begins with as many as it takes to be through in
/// time, tries one more at a time, and goes back at the first load that was
/// slowed.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadConcurrency {
    limit: usize,
    max_limit: usize,
    /// Most that were seen to load at full speed together.
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
    /// Returns how many engines may load at once now, where so many have to be
    /// through within a time.
    ///
    /// One more at a time alone takes a fleet of ninety engines longer than the
    /// old weights may be used.
    pub fn limit(&self, engines: usize, within_ms: u64) -> usize {
        let load_ms = self.typical_ms.unwrap_or(INITIAL_LOAD_MS);
        let needed = (engines as f64 * load_ms / within_ms.max(1) as f64).ceil() as usize;
        self.limit.max(needed).min(self.max_limit)
    }

    /// Notes how long a load took on an engine that had nothing to finish,
    /// while so many loaded at the most.
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
