use serde::{Deserialize, Serialize};

/// Number of durations that are told apart: four for each doubling from a millisecond.
const BUCKETS: usize = 64;

/// Buckets for each doubling of the duration.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Shortest duration that others are compared with. Times are measured in whole
/// milliseconds, and on a busy machine answers of one take a few more at any version.
const MIN_USUAL_MS: f64 = 5.0;

/// Result of one request at one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sample {
    /// The engine failed, or its answer was lost or not its own.
    Failed,
    /// The engine answered: for a stream the mean time between two events, for
    /// anything else the time to the whole answer; `None` for a stream too short to
    /// tell.
    Answered {
        /// That time, in milliseconds.
        took_ms: Option<f64>,
    },
}

/// Results of requests to one software version: failures, and how long answers took.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Samples {
    failed: u32,
    untimed: u32,
    /// Answers by duration, without trailing empty buckets.
    timed: Vec<u32>,
}

impl Samples {
    /// Adds one result.
    pub fn record(&mut self, sample: Sample) {
        match sample {
            Sample::Failed => self.failed += 1,
            Sample::Answered { took_ms: None } => self.untimed += 1,
            Sample::Answered {
                took_ms: Some(took_ms),
            } => {
                let bucket = bucket(took_ms);
                if self.timed.len() <= bucket {
                    self.timed.resize(bucket + 1, 0);
                }
                self.timed[bucket] += 1;
            }
        }
    }

    /// Adds answers whose duration isn't known.
    pub fn add_untimed(&mut self, count: u32) {
        self.untimed += count;
    }

    /// Adds the results of another instance.
    pub fn add(&mut self, other: &Samples) {
        self.failed = self.failed.saturating_add(other.failed);
        self.untimed = self.untimed.saturating_add(other.untimed);
        // What a peer sends may be longer than what this build writes.
        let other = &other.timed[..other.timed.len().min(BUCKETS)];
        if self.timed.len() < other.len() {
            self.timed.resize(other.len(), 0);
        }
        for (own, other) in self.timed.iter_mut().zip(other) {
            *own = own.saturating_add(*other);
        }
    }

    /// Returns what has come since an earlier state.
    pub fn since(&self, earlier: &Samples) -> Samples {
        let before = |bucket: usize| earlier.timed.get(bucket).copied().unwrap_or(0);
        let timed = self.timed.iter().enumerate();
        Samples {
            failed: self.failed.saturating_sub(earlier.failed),
            untimed: self.untimed.saturating_sub(earlier.untimed),
            timed: timed
                .map(|(bucket, count)| count.saturating_sub(before(bucket)))
                .collect(),
        }
    }

    /// Returns the number of failures.
    pub fn failed(&self) -> u32 {
        self.failed
    }

    /// Returns the number of answers whose duration is known.
    pub fn timed(&self) -> u32 {
        self.timed.iter().sum()
    }

    /// Returns the number of all results.
    pub fn total(&self) -> u32 {
        self.failed + self.untimed + self.timed()
    }

    /// Returns the bucket of the median duration, or of 5 ms if that is longer.
    pub fn usual_bucket(&self) -> usize {
        self.median_bucket().max(bucket(MIN_USUAL_MS))
    }

    fn median_bucket(&self) -> usize {
        let half = self.timed().div_ceil(2);
        let mut seen = 0;
        let reaches_half = |count: &u32| {
            seen += count;
            seen >= half
        };
        self.timed.iter().position(reaches_half).unwrap_or(0)
    }

    /// Returns the number of answers that took about twice the duration of a bucket or
    /// longer.
    pub fn twice_as_slow(&self, bucket: usize) -> u32 {
        let first = bucket + BUCKETS_PER_DOUBLING as usize;
        self.timed.iter().skip(first).sum()
    }
}

/// Returns the bucket of a duration.
fn bucket(took_ms: f64) -> usize {
    let bucket = took_ms.max(1.0).log2() * BUCKETS_PER_DOUBLING;
    (bucket as usize).min(BUCKETS - 1)
}

/// Results of requests to the version in use and to the new one, over the same time.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct VersionSamples {
    /// Results at engines of the version in use.
    pub current: Samples,
    /// Results at engines of the new version.
    pub candidate: Samples,
}

impl VersionSamples {
    /// Adds the results of another instance.
    pub fn add(&mut self, other: &VersionSamples) {
        self.current.add(&other.current);
        self.candidate.add(&other.candidate);
    }
}
