use serde::{Deserialize, Serialize};

/// Upper bounds of the buckets, in milliseconds; a last bucket takes the rest.
///
/// Fixed for every instance: buckets with other bounds would not add up.
pub const BOUNDS_MS: [u64; 11] = [25, 50, 100, 200, 400, 600, 800, 1_200, 2_000, 5_000, 15_000];

const BUCKETS: usize = BOUNDS_MS.len() + 1;

/// Counts of times by bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Histogram {
    buckets: [u64; BUCKETS],
}

impl Histogram {
    /// Counts a time.
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

    /// Returns the number of times counted.
    pub fn total(&self) -> u64 {
        self.buckets.iter().sum()
    }

    /// Returns the bound within which the given share of the times lies, none
    /// if there are no times or the bound is beyond the last.
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
