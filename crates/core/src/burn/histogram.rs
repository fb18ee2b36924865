use serde::{Deserialize, Serialize};

/// Inclusive upper bounds of the buckets, in milliseconds. One more bucket
/// counts larger values.
///
/// All instances must use the same bounds, or their counts can't be added.
pub const BOUNDS_MS: [u64; 11] = [25, 50, 100, 200, 400, 600, 800, 1_200, 2_000, 5_000, 15_000];

const BUCKETS: usize = BOUNDS_MS.len() + 1;

/// Histogram of durations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Histogram {
    buckets: [u64; BUCKETS],
}

impl Histogram {
    /// Counts one duration.
    pub fn record(&mut self, time_ms: u64) {
        let bucket = BOUNDS_MS.partition_point(|bound| *bound < time_ms);
        self.buckets[bucket] += 1;
    }

    /// Adds the counts of another histogram.
    pub fn add(&mut self, other: &Histogram) {
        for (own, more) in self.buckets.iter_mut().zip(other.buckets) {
            *own += more;
        }
    }

    /// Returns the number of durations counted.
    pub fn total(&self) -> u64 {
        self.buckets.iter().sum()
    }

    /// Returns the upper bound of the bucket that holds the given percentile,
    /// in milliseconds; `None` if nothing was counted or the percentile is
    /// above the last bound.
    pub fn percentile_ms(&self, percent: u64) -> Option<u64> {
        let required = (self.total() * percent).div_ceil(100);
        if required == 0 {
            return None;
        }
        let mut counted = 0;
        for (bound, count) in BOUNDS_MS.iter().zip(self.buckets) {
            counted += count;
            if counted >= required {
                return Some(*bound);
            }
        }
        None
    }
}
