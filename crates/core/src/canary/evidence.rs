use {
    super::{CanarySettings, Samples, VersionSamples},
    derive_more::Display,
};

/// What is compared between two software versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Measure {
    /// Share of requests that failed.
    #[display("failures")]
    Failures,
    /// Share of answers that took twice the usual time.
    #[display("slowness")]
    Slowness,
}

/// Why a version counts as bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Alarm {
    /// What is worse than at the version in use.
    pub measure: Measure,
    /// Bad answers of the new version on the route.
    pub bad: u32,
    /// Answers and failures of the new version on the route.
    pub total: u32,
}

/// Two rates of bad answers that are told apart: that of a sound version and that of a
/// bad one.
#[derive(Debug, Clone, Copy)]
struct Hypotheses {
    sound: f64,
    bad: f64,
}

impl Hypotheses {
    /// Returns the logarithm of the likelihood ratio of some answers: positive where
    /// they speak for a bad version.
    fn llr(self, bad: u32, good: u32) -> f64 {
        let bad_llr = (self.bad / self.sound).ln();
        let good_llr = ((1.0 - self.bad) / (1.0 - self.sound)).ln();
        f64::from(bad) * bad_llr + f64::from(good) * good_llr
    }
}

/// Tolerated difference of the failure rates: engines that have just started fail a
/// little more.
const TOLERATED_FAILURES: f64 = 0.01;

/// Failures beyond the sound rate that are to be noticed after a few dozen answers,
/// and those that are to be noticed after a few hundred.
const MANY_FAILURES: f64 = 0.19;
const SOME_FAILURES: f64 = 0.05;

/// Slow answers of a sound version, as a multiple of those of the version in use and
/// in addition to it: its engines start with empty caches.
const SLOW_FACTOR: f64 = 1.5;
const TOLERATED_SLOW: f64 = 0.1;

/// Slow answers of a bad version beyond that, of those that are left.
const MANY_SLOW: f64 = 0.45;

/// Answers of the version in use without which its usual time isn't known.
const MIN_TIMED: u32 = 20;

/// Sequential comparison of a new version with the one in use, on one route.
///
/// A version may turn bad at any time, so the tests for bad ones start again whenever
/// the answers so far speak for the version (a cumulative sum that never falls below
/// 0); what speaks for it is summed up apart.
#[derive(Debug, Clone, Default)]
pub struct RouteEvidence {
    many_failures: f64,
    some_failures: f64,
    slowness: f64,
    failures_cleared: f64,
    slowness_cleared: f64,
    counted: Samples,
    timed: Samples,
    excess_failures: f64,
    failures_cleared_at_shift: f64,
    slowness_cleared_at_shift: f64,
}

impl RouteEvidence {
    /// Takes in the results on the route so far, over all instances. Returns the alarm
    /// if the new version is bad.
    pub fn update(&mut self, results: &VersionSamples, settings: &CanarySettings) -> Option<Alarm> {
        let failures = self.update_failures(results, settings);
        failures.or_else(|| self.update_slowness(results, settings))
    }

    fn update_failures(
        &mut self,
        results: &VersionSamples,
        settings: &CanarySettings,
    ) -> Option<Alarm> {
        let new = results.candidate.since(&self.counted);
        self.counted = results.candidate.clone();
        let (bad, good) = (new.failed(), new.total() - new.failed());
        let sound = sound_failure_rate(&results.current);
        let many = Hypotheses {
            sound,
            bad: sound + MANY_FAILURES * (1.0 - sound),
        };
        let some = Hypotheses {
            sound,
            bad: sound + SOME_FAILURES * (1.0 - sound),
        };
        self.many_failures = (self.many_failures + many.llr(bad, good)).max(0.0);
        self.some_failures = (self.some_failures + some.llr(bad, good)).max(0.0);
        self.failures_cleared -= many.llr(bad, good);
        self.excess_failures += f64::from(bad) - sound * f64::from(new.total());
        let is_bad = self.many_failures.max(self.some_failures) >= settings.failure_alarm_llr
            || self.excess_failures >= settings.max_excess_bad;
        is_bad.then(|| Alarm {
            measure: Measure::Failures,
            bad: results.candidate.failed(),
            total: results.candidate.total(),
        })
    }

    fn update_slowness(
        &mut self,
        results: &VersionSamples,
        settings: &CanarySettings,
    ) -> Option<Alarm> {
        if results.current.timed() < MIN_TIMED {
            return None;
        }
        let usual = results.current.usual_bucket();
        let new = results.candidate.since(&self.timed);
        self.timed = results.candidate.clone();
        let slow = new.twice_as_slow(usual);
        let slow_now = f64::from(results.current.twice_as_slow(usual));
        let ratio = slow_now / f64::from(results.current.timed());
        let sound = (SLOW_FACTOR * ratio + TOLERATED_SLOW).min(0.8);
        let slowness = Hypotheses {
            sound,
            bad: sound + MANY_SLOW * (1.0 - sound),
        };
        let llr = slowness.llr(slow, new.timed() - slow);
        self.slowness = (self.slowness + llr).max(0.0);
        self.slowness_cleared -= llr;
        (self.slowness >= settings.slowness_alarm_llr).then(|| Alarm {
            measure: Measure::Slowness,
            bad: results.candidate.twice_as_slow(usual),
            total: results.candidate.timed(),
        })
    }

    /// Marks the time from which on the version gets all requests.
    pub fn record_shift(&mut self) {
        self.failures_cleared_at_shift = self.failures_cleared;
        self.slowness_cleared_at_shift = self.slowness_cleared;
    }

    /// Returns whether the answers since the version gets all requests speak for it by
    /// at least `llr`: it may have been sound only while it had little to do.
    pub fn is_cleared_since_shift(&self, llr: f64) -> bool {
        let is_timed = self.timed.timed() > 0;
        let failures = self.failures_cleared - self.failures_cleared_at_shift;
        let slowness = self.slowness_cleared - self.slowness_cleared_at_shift;
        failures >= llr && (!is_timed || slowness >= llr)
    }

    /// Returns whether the answers so far speak for the version by at least `llr`, the
    /// logarithm of a likelihood ratio, and the last ones don't speak against it.
    pub fn is_cleared(&self, llr: f64, settings: &CanarySettings) -> bool {
        let suspicions = [self.many_failures, self.some_failures, self.slowness];
        let is_suspect = suspicions
            .iter()
            .any(|llr| *llr > settings.max_suspicion_llr);
        let is_timed = self.timed.timed() > 0;
        !is_suspect && self.failures_cleared >= llr && (!is_timed || self.slowness_cleared >= llr)
    }
}

/// Returns the failure rate up to which a version is as good as the one in use: its
/// rate, with the error of that estimate.
fn sound_failure_rate(current: &Samples) -> f64 {
    let total = f64::from(current.total()) + 2.0;
    let rate = (f64::from(current.failed()) + 0.1) / total;
    let error = (rate * (1.0 - rate) / total).sqrt();
    (rate + error + TOLERATED_FAILURES).min(0.9)
}
