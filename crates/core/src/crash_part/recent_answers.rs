use std::{collections::HashMap, mem};

/// Number of parts after which the older half is forgotten: callers may invent any number.
const MAX_PARTS_PER_HALF: usize = 2_048;

/// When this instance last completed an answer on each part that it has seen lately.
///
/// An arbiter asks for it once a part was on several crashed engines, so that answers
/// between the crashes count as well.
#[derive(Debug, Clone, Default)]
pub struct RecentAnswers {
    newer: HashMap<u64, u64>,
    older: HashMap<u64, u64>,
}

impl RecentAnswers {
    /// Records a completed answer on parts.
    pub fn record(&mut self, parts: &[u64], now_ms: u64) {
        for part in parts {
            self.newer.insert(*part, now_ms);
        }
        if self.newer.len() >= MAX_PARTS_PER_HALF {
            self.older = mem::take(&mut self.newer);
        }
    }

    /// Returns when an answer on a part was last completed; `None` if it isn't known.
    pub fn last_ms(&self, part: u64) -> Option<u64> {
        self.newer
            .get(&part)
            .or_else(|| self.older.get(&part))
            .copied()
    }

    /// Returns the number of parts that are kept.
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Returns whether no part is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
