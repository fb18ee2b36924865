/// Loads at once with which an orderer begins.
const FIRST: usize = 2;

/// Loads in a row that must be quick before one more is tried.
const QUICK_IN_ROW: u32 = 4;

/// Part of the usual time above which a load counts as slowed. Times are
/// read off reports that lie up to two hundred milliseconds behind.
const SLOWED: f64 = 1.35;

/// Part of the usual time below which a load counts as quick.
const QUICK: f64 = 1.2;

/// Finds how many engines may load at once.
///
/// Where weights lie, only so many engines read them at full speed; beyond
/// that each load takes longer than one fewer at once would save. How many it
/// is isn't told, so it is tried, one more at a time, and given up at the
/// first load that was slowed.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadPace {
    at_once: usize,
    most: usize,
    usual_ms: Option<f64>,
    quick: u32,
}

impl Default for LoadPace {
    fn default() -> LoadPace {
        LoadPace {
            at_once: FIRST,
            most: usize::MAX,
            usual_ms: None,
            quick: 0,
        }
    }
}

impl LoadPace {
    /// Returns how many engines may load at once now.
    pub fn at_once(&self) -> usize {
        self.at_once
    }

    /// Notes how long a load took on an engine that had nothing to finish,
    /// while so many loaded.
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
            self.most = (loading - 1).max(FIRST);
            self.at_once = self.at_once.min(self.most);
            self.quick = 0;
            return;
        }
        if loading < self.at_once || took_ms > usual_ms * QUICK {
            return;
        }
        self.quick += 1;
        if self.quick >= QUICK_IN_ROW && self.at_once < self.most {
            self.at_once += 1;
            self.quick = 0;
        }
    }
}
