/// Loads at once that are always tried.
const FIRST: usize = 2;

/// Loads in a row that must be quick before one more is tried.
const QUICK_IN_ROW: u32 = 4;

/// Part of the usual time above which a load counts as slowed. Times are
/// read off reports that lie up to two hundred milliseconds behind.
const SLOWED: f64 = 1.35;

/// Part of the usual time below which a load counts as quick.
const QUICK: f64 = 1.2;

/// Time that a load is taken to last before one was seen.
const FIRST_LOAD_MS: f64 = 500.0;

/// Finds how many engines may load at once.
///
/// Where weights lie, only so many engines read them at full speed; beyond
/// that each load takes longer than one fewer at once would save. How many it
/// is isn't told. An orderer begins with as many as it takes to be through in
/// time, tries one more at a time, and goes back at the first load that was
/// slowed.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadConcurrency {
    at_once: usize,
    most: usize,
    /// Most that were seen to load at full speed together.
    good: usize,
    usual_ms: Option<f64>,
    quick: u32,
}

impl Default for LoadConcurrency {
    fn default() -> LoadConcurrency {
        LoadConcurrency {
            at_once: FIRST,
            most: usize::MAX,
            good: FIRST,
            usual_ms: None,
            quick: 0,
        }
    }
}

impl LoadConcurrency {
    /// Returns how many engines may load at once now, where so many have to be
    /// through within a time.
    ///
    /// One more at a time alone takes a fleet of ninety engines longer than the
    /// old weights may be used.
    pub fn at_once(&self, engines: usize, within_ms: u64) -> usize {
        let load_ms = self.usual_ms.unwrap_or(FIRST_LOAD_MS);
        let needed = (engines as f64 * load_ms / within_ms.max(1) as f64).ceil() as usize;
        self.at_once.max(needed).min(self.most)
    }

    /// Notes how long a load took on an engine that had nothing to finish,
    /// while so many loaded at the most.
    pub fn loaded(&mut self, took_ms: u64, loading: usize) {
        let took_ms = took_ms as f64;
        let usual_ms = match self.usual_ms {
            Some(usual_ms) => usual_ms,
            None => {
                self.usual_ms = Some(took_ms);
                took_ms
            }
        };
        if loading <= FIRST {
            self.usual_ms = Some(usual_ms * 0.8 + took_ms * 0.2);
        }
        if loading > FIRST && took_ms > usual_ms * SLOWED {
            let at_full_speed = (loading as f64 * usual_ms / took_ms) as usize;
            self.most = at_full_speed.max(self.good).min(loading - 1).max(FIRST);
            self.at_once = self.at_once.min(self.most);
            self.quick = 0;
            return;
        }
        if took_ms > usual_ms * QUICK {
            return;
        }
        self.good = self.good.max(loading.min(self.most));
        self.at_once = self.at_once.max(self.good);
        if loading < self.at_once {
            return;
        }
        self.quick += 1;
        if self.quick >= QUICK_IN_ROW && self.at_once < self.most {
            self.at_once += 1;
            self.quick = 0;
        }
    }
}
