/// Bounds on what a new software version may get before it is accepted, over all
/// instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureLimits {
    /// Maximum share of the service's requests.
    pub ratio: f64,
    /// Requests allowed in addition to that share.
    pub slack_requests: f64,
    /// Time after too many bad answers from which on the version may get none.
    pub rollback_ms: u64,
}

impl Default for ExposureLimits {
    fn default() -> ExposureLimits {
        ExposureLimits {
            ratio: 0.1,
            slack_requests: 50.0,
            rollback_ms: 5_000,
        }
    }
}

/// How a new software version is tried and judged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CanarySettings {
    /// Share of the service's requests that the trial uses, as a fraction of the
    /// allowed share. The rest pays for the time that it takes to notice a version
    /// that fails only once it gets all requests.
    pub trial_fraction: f64,
    /// Share of the requests just before all are moved. They go to as large a share of
    /// the new engines, so that these are as busy as they will be.
    pub ramp_ratio: f64,
    /// Duration of that step, as a fraction of the time that the operator allows.
    pub ramp_fraction: f64,
    /// Maximum duration of that step. A longer one would use up what is allowed before all
    /// requests are moved, and leave too little to see them by.
    pub max_ramp_ms: u64,
    /// Time before the deadline at which all requests are moved, as a fraction of the
    /// time that the operator allows. Late, so that what has been seen speaks for the
    /// version; early enough for the runs at the replaced engines to end.
    pub shift_fraction: f64,
    /// Bounds on that time.
    pub min_shift_ms: u64,
    /// See `min_shift_ms`.
    pub max_shift_ms: u64,
    /// Minimum time for which all requests have been moved before the version is
    /// accepted.
    pub min_shifted_ms: u64,
    /// Fraction of the allowed time in which only requests that may run again are
    /// tried.
    pub cautious_fraction: f64,
    /// Time before the deadline at which a version that isn't cleared is withdrawn, so
    /// that the store has it in time.
    pub decision_margin_ms: u64,
    /// Age up to which the directive of a decider applies. Without one, nothing is sent to
    /// the new version.
    pub directive_valid_ms: u64,
    /// Logarithm of the likelihood ratio at which a version counts as failing.
    pub failure_alarm_llr: f64,
    /// The same for a slow version. Slow answers are frequent where a version is slow
    /// at all, and a slow version does less harm.
    pub slowness_alarm_llr: f64,
    /// Logarithm of the likelihood ratio, in favour of the version, at which it gets
    /// `ramp_ratio` of the requests.
    pub ramp_llr: f64,
    /// The same, at which it may get all requests.
    pub shift_llr: f64,
    /// The same, at which it may be accepted, and may get more than the allowed share.
    pub accept_llr: f64,
    /// The same, at which it may be accepted, of the answers since it got all requests.
    pub shifted_llr: f64,
    /// Logarithm of the likelihood ratio, against the version, up to which it may be
    /// accepted.
    pub max_suspicion_llr: f64,
    /// Fraction of the allowed requests that a version may have had before it is
    /// cleared. The rest is on its way when that is noticed.
    pub max_exposed_fraction: f64,
    /// Bad answers beyond those expected of the version in use that are never
    /// exceeded, whatever the ratios say.
    pub max_excess_bad: f64,
    /// Requests to the version in use from which on a route has to be cleared of its
    /// own. Routes with fewer must only raise no alarm.
    pub min_route_samples: u32,
}

impl Default for CanarySettings {
    fn default() -> CanarySettings {
        CanarySettings {
            trial_fraction: 0.5,
            ramp_ratio: 0.25,
            ramp_fraction: 0.15,
            max_ramp_ms: 1_800,
            shift_fraction: 0.2,
            min_shift_ms: 1_500,
            max_shift_ms: 4_000,
            min_shifted_ms: 1_200,
            cautious_fraction: 0.15,
            decision_margin_ms: 700,
            directive_valid_ms: 1_500,
            failure_alarm_llr: 11.0,
            slowness_alarm_llr: 8.0,
            ramp_llr: 0.5,
            shift_llr: 2.5,
            accept_llr: 6.0,
            shifted_llr: 1.5,
            max_suspicion_llr: 3.0,
            max_exposed_fraction: 0.7,
            max_excess_bad: 25.0,
            min_route_samples: 50,
        }
    }
}

impl CanarySettings {
    /// Returns how long before the deadline all requests are moved.
    pub fn shift_ms(&self, duration_ms: u64) -> u64 {
        let wanted_ms = (duration_ms as f64 * self.shift_fraction) as u64;
        wanted_ms.clamp(self.min_shift_ms, self.max_shift_ms)
    }

    /// Returns how long before the deadline the larger share begins.
    pub fn ramp_ms(&self, duration_ms: u64) -> u64 {
        let ramp_ms = (duration_ms as f64 * self.ramp_fraction) as u64;
        self.shift_ms(duration_ms) + ramp_ms.min(self.max_ramp_ms)
    }
}
