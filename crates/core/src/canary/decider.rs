use {
    super::{Alarm, CanarySettings, ExposureLimits, Outcome, RouteEvidence, VersionSamples},
    derive_more::{Display, From},
    std::collections::BTreeMap,
};

/// A few requests go to the new version.
#[derive(Debug, Clone, Copy, Default)]
pub struct Trial;

/// All requests go to the new version, and the engines of the old one still live.
#[derive(Debug, Clone, Copy)]
pub struct Shifting {
    since_ms: u64,
}

/// The result is known, and nothing changes it.
#[derive(Debug, Clone, Copy)]
pub struct Decided {
    /// The result.
    pub outcome: Outcome,
    /// Why it was decided.
    pub reason: Reason,
}

/// Why an order ended as it did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Reason {
    /// The new version answers as well as the old one.
    #[display("as_good")]
    AsGood,
    /// The new version is worse on a route.
    #[display("{} on route {route:08x}, {} of {}", alarm.measure, alarm.bad, alarm.total)]
    Worse {
        /// Hash of the route's name.
        route: u32,
        /// What is worse.
        alarm: Alarm,
    },
    /// Too little was seen of the new version before the deadline.
    #[display("not_enough_seen")]
    NotEnoughSeen,
}

/// What a decider knows when it decides.
#[derive(Debug, Clone, Copy)]
pub struct CanaryInputs<'a> {
    /// Results of all instances by route.
    pub results: &'a BTreeMap<u32, VersionSamples>,
    /// Whether all live instances send everything to the new version and have nothing
    /// left at the others.
    pub all_shifted: bool,
    /// Time since the order was given.
    pub elapsed_ms: u64,
    /// Time within which it has to be carried out.
    pub duration_ms: u64,
}

/// One order in one stage of its life. Only a version that got all requests can be
/// accepted.
#[derive(Debug, Clone)]
pub struct Canary<Stage> {
    settings: CanarySettings,
    limits: ExposureLimits,
    evidence: BTreeMap<u32, RouteEvidence>,
    stage: Stage,
}

/// An order in any stage.
#[derive(Debug, Clone, From)]
pub enum CanaryState {
    /// See [`Trial`].
    Trial(Canary<Trial>),
    /// See [`Shifting`].
    Shifting(Canary<Shifting>),
    /// See [`Decided`].
    Decided(Canary<Decided>),
}

impl<Stage> Canary<Stage> {
    fn with_stage<Next>(self, stage: Next) -> Canary<Next> {
        Canary {
            settings: self.settings,
            limits: self.limits,
            evidence: self.evidence,
            stage,
        }
    }

    fn decide(self, outcome: Outcome, reason: Reason) -> Canary<Decided> {
        self.with_stage(Decided { outcome, reason })
    }

    /// Takes in all results. Returns why the new version is bad, if it is.
    fn find_fault(&mut self, inputs: &CanaryInputs<'_>) -> Option<Reason> {
        let mut found = None;
        for (&route, samples) in inputs.results {
            let evidence = self.evidence.entry(route).or_default();
            if let Some(alarm) = evidence.update(samples, &self.settings) {
                found = found.or(Some(Reason::Worse { route, alarm }));
            }
        }
        found
    }

    /// Returns whether each route that matters speaks for the version by `llr`, and
    /// there is one.
    fn is_cleared(&self, inputs: &CanaryInputs<'_>, llr: f64) -> bool {
        self.all_routes(inputs, |evidence| evidence.is_cleared(llr, &self.settings))
    }

    /// Returns whether there are routes that matter, and something holds for each. Those
    /// with few requests must only raise no alarm.
    fn all_routes(
        &self,
        inputs: &CanaryInputs<'_>,
        holds: impl Fn(&RouteEvidence) -> bool,
    ) -> bool {
        let min_samples = self.settings.min_route_samples;
        let total = |samples: &VersionSamples| samples.current.total() + samples.candidate.total();
        let most = inputs.results.values().map(total).max().unwrap_or(0);
        let mut matters = inputs
            .results
            .iter()
            .filter(|(_, samples)| total(samples) >= min_samples.min(most.max(1)))
            .peekable();
        matters.peek().is_some()
            && matters.all(|(route, _)| {
                let evidence = self.evidence.get(route);
                evidence.is_some_and(&holds)
            })
    }

    fn left_ms(inputs: &CanaryInputs<'_>) -> u64 {
        inputs.duration_ms.saturating_sub(inputs.elapsed_ms)
    }
}

impl Canary<Trial> {
    /// Returns an order of which nothing has been seen.
    pub fn new(settings: CanarySettings, limits: ExposureLimits) -> Canary<Trial> {
        Canary {
            settings,
            limits,
            evidence: BTreeMap::new(),
            stage: Trial,
        }
    }

    /// Moves all requests once the trial speaks for the version and the deadline is
    /// near, and gives up where it can't be known in time.
    fn step(mut self, inputs: &CanaryInputs<'_>, now_ms: u64) -> CanaryState {
        if let Some(reason) = self.find_fault(inputs) {
            return self.decide(Outcome::RolledBack, reason).into();
        }
        let left_ms = Canary::<Trial>::left_ms(inputs);
        let shift_ms = self.settings.shift_ms(inputs.duration_ms);
        if left_ms <= self.settings.decision_margin_ms {
            return self
                .decide(Outcome::RolledBack, Reason::NotEnoughSeen)
                .into();
        }
        if left_ms <= shift_ms && self.is_cleared(inputs, self.settings.shift_llr) {
            return self.shift(now_ms).into();
        }
        self.into()
    }

    fn shift(mut self, now_ms: u64) -> Canary<Shifting> {
        for evidence in self.evidence.values_mut() {
            evidence.record_shift();
        }
        self.with_stage(Shifting { since_ms: now_ms })
    }

    fn share(&self, inputs: &CanaryInputs<'_>) -> f64 {
        let settings = &self.settings;
        let trial_ratio = self.limits.ratio * settings.trial_fraction;
        let ramp_ms = settings.ramp_ms(inputs.duration_ms);
        let is_ramp = Canary::<Trial>::left_ms(inputs) <= ramp_ms;
        if is_ramp && self.is_cleared(inputs, settings.ramp_llr) {
            return trial_ratio.max(settings.ramp_ratio);
        }
        trial_ratio
    }
}

impl Canary<Shifting> {
    fn may_accept(&self, inputs: &CanaryInputs<'_>) -> bool {
        let shifted_llr = self.settings.shifted_llr;
        self.is_cleared(inputs, self.settings.accept_llr)
            && self.all_routes(inputs, |evidence| {
                evidence.is_cleared_since_shift(shifted_llr)
            })
    }

    /// Returns whether the new version has had nearly as many requests as it may have
    /// if it turns out to be bad.
    fn is_exposed(&self, inputs: &CanaryInputs<'_>) -> bool {
        let results = inputs.results.values();
        let exposed: u32 = results
            .clone()
            .map(|samples| samples.candidate.total())
            .sum();
        let others: u32 = results.map(|samples| samples.current.total()).sum();
        let progress = inputs.elapsed_ms as f64 / inputs.duration_ms.max(1) as f64;
        let expected = f64::from(exposed + others) / progress.clamp(0.1, 1.0);
        let allowed = expected * self.limits.ratio + self.limits.slack_requests;
        f64::from(exposed) >= allowed * self.settings.max_exposed_fraction
    }

    /// Accepts the version once nothing runs at the old engines, which stop at once
    /// then. Past the deadline this still waits: a missed deadline costs less than the
    /// requests that would be cut off.
    fn step(mut self, inputs: &CanaryInputs<'_>, now_ms: u64) -> CanaryState {
        if let Some(reason) = self.find_fault(inputs) {
            return self.decide(Outcome::RolledBack, reason).into();
        }
        let shifted_ms = now_ms.saturating_sub(self.stage.since_ms);
        let is_due = shifted_ms >= self.settings.min_shifted_ms;
        let is_cleared = self.may_accept(inputs);
        if is_due && is_cleared && inputs.all_shifted {
            return self.decide(Outcome::Completed, Reason::AsGood).into();
        }
        let is_late = Canary::<Shifting>::left_ms(inputs) == 0;
        if (is_late || self.is_exposed(inputs)) && !is_cleared {
            return self
                .decide(Outcome::RolledBack, Reason::NotEnoughSeen)
                .into();
        }
        self.into()
    }
}

impl Canary<Decided> {
    /// Returns the result and its reason.
    pub fn decision(&self) -> &Decided {
        &self.stage
    }
}

impl CanaryState {
    /// Returns the state of an order of which nothing has been seen.
    pub fn new(settings: CanarySettings, limits: ExposureLimits) -> CanaryState {
        Canary::new(settings, limits).into()
    }

    /// Takes in what is known, and returns the next state.
    pub fn step(self, inputs: &CanaryInputs<'_>, now_ms: u64) -> CanaryState {
        match self {
            CanaryState::Trial(trial) => trial.step(inputs, now_ms),
            CanaryState::Shifting(shifting) => shifting.step(inputs, now_ms),
            CanaryState::Decided(_) => self,
        }
    }

    /// Returns the share of requests for the new version.
    pub fn share(&self, inputs: &CanaryInputs<'_>) -> f64 {
        match self {
            CanaryState::Trial(trial) => trial.share(inputs),
            CanaryState::Shifting(_) => 1.0,
            CanaryState::Decided(decided) => match decided.stage.outcome {
                Outcome::Completed => 1.0,
                Outcome::RolledBack => 0.0,
            },
        }
    }

    /// Returns whether only requests that may run again are to be tried.
    pub fn is_cautious(&self, inputs: &CanaryInputs<'_>) -> bool {
        let CanaryState::Trial(trial) = self else {
            return false;
        };
        let until_ms = inputs.duration_ms as f64 * trial.settings.cautious_fraction;
        (inputs.elapsed_ms as f64) < until_ms
    }

    /// Returns the decision, if there is one.
    pub fn decision(&self) -> Option<&Decided> {
        match self {
            CanaryState::Decided(decided) => Some(decided.decision()),
            CanaryState::Trial(_) | CanaryState::Shifting(_) => None,
        }
    }
}
