use {
    super::{
        CanaryDirective, CanaryOrder, CanarySettings, ExposureLimits, LossReport, OrderId, Outcome,
        RouteReport, Sample, open_order::OpenOrder, service::ServiceSoftware,
    },
    std::collections::BTreeMap,
};

/// What an engine may be used for because of its software version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SoftwareRole {
    /// Its version is in use.
    #[default]
    InUse,
    /// It isn't known yet whether an order concerns its version; it gets nothing.
    Held,
    /// An order is to move the service to its version.
    Candidate,
    /// Its version was withdrawn; it gets nothing.
    Withdrawn,
    /// Its version has been replaced. It is used where no other engine is left.
    Outgoing,
}

/// Engines to which one request may be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Lane {
    /// Those of the versions in use.
    InUse,
    /// Those of the new version, of which a share `ratio` is tried.
    Trial {
        /// Share of the requests, and of the new engines.
        ratio: f64,
    },
    /// Those of the new version, and of others only if it has none.
    Shifted,
}

/// The software versions of all services, and the orders to change them, as one
/// instance knows them.
///
/// Without limits the platform has no such orders, and all versions are equal. With
/// them, a version that wasn't there before is held back until the orders are known up
/// to a revision of the store at which its engines were listed: the list of engines
/// may be read before the order that started them.
#[derive(Debug, Default)]
pub struct SoftwareTable {
    limits: Option<ExposureLimits>,
    settings: CanarySettings,
    view_revision: Option<u64>,
    services: BTreeMap<String, ServiceSoftware>,
}

impl SoftwareTable {
    /// Returns a table that knows nothing; `limits` is `None` where the platform has no
    /// orders of this kind.
    pub fn new(limits: Option<ExposureLimits>, settings: CanarySettings) -> SoftwareTable {
        SoftwareTable {
            limits,
            settings,
            ..SoftwareTable::default()
        }
    }

    /// Returns the limits, if the platform has orders of this kind.
    pub fn limits(&self) -> Option<ExposureLimits> {
        self.limits
    }

    /// Returns the settings.
    pub fn settings(&self) -> &CanarySettings {
        &self.settings
    }

    /// Sets the age up to which the directive of a decider applies. In a large fleet deciders
    /// speak less often.
    pub fn set_directive_valid_ms(&mut self, valid_ms: u64) {
        self.settings.directive_valid_ms = valid_ms;
    }

    /// Returns the revision of the store up to which all orders are known.
    pub fn view_revision(&self) -> Option<u64> {
        self.view_revision
    }

    /// Replaces the orders by those in the store at a revision.
    ///
    /// `age_ms` tells how long ago an order was given of which this instance hears for
    /// the first time, and `draw` is a random number from 0 to 1 for its budget.
    pub fn replace_orders(
        &mut self,
        orders: &[CanaryOrder],
        revision: u64,
        age_ms: impl Fn(&OrderId) -> u64,
        draw: f64,
        now_ms: u64,
    ) {
        for order in orders {
            let age_ms = age_ms(&order.id);
            self.update_order(order, age_ms, draw, now_ms);
        }
        let is_listed = |id: &OrderId| orders.iter().any(|order| order.id == *id);
        for software in self.services.values_mut() {
            let gone = software
                .open
                .as_ref()
                .filter(|open| !is_listed(&open.order.id) && open.order.revision <= revision);
            if let Some(to) = gone.map(|open| open.order.id.to.clone()) {
                software.open = None;
                software.withdrawn.insert(to);
            }
        }
        self.view_revision = self.view_revision.max(Some(revision));
    }

    /// Gives up the order of an entry that was removed at a revision. Its version gets
    /// nothing more.
    pub fn withdraw(&mut self, name: &str, revision: u64) {
        for software in self.services.values_mut() {
            let removed = software
                .open
                .as_ref()
                .filter(|open| open.order.name == name && open.order.revision <= revision);
            if let Some(to) = removed.map(|open| open.order.id.to.clone()) {
                software.open = None;
                software.withdrawn.insert(to);
            }
        }
    }

    /// Records that the orders are known up to a revision and haven't changed.
    pub fn confirm_view(&mut self, revision: u64) {
        self.view_revision = self.view_revision.max(Some(revision));
    }

    /// Applies one order as the store has it; see [`SoftwareTable::replace_orders`].
    pub fn update_order(&mut self, order: &CanaryOrder, age_ms: u64, draw: f64, now_ms: u64) {
        let software = self.services.entry(order.id.service.clone()).or_default();
        if let Some(outcome) = order.outcome {
            return software.finish(order, outcome, true, now_ms);
        }
        software.open(order, age_ms, draw, now_ms);
    }

    /// Applies the directive of a decider. Returns whether this instance hears of the
    /// order or of its result for the first time.
    pub fn apply_directive(&mut self, directive: &CanaryDirective, draw: f64, now_ms: u64) -> bool {
        if self.limits.is_none() {
            return false;
        }
        let order = CanaryOrder {
            id: directive.order.clone(),
            name: String::new(),
            revision: directive.revision,
            duration_ms: (directive.duration_ms > 0).then_some(u64::from(directive.duration_ms)),
            is_started: false,
            outcome: directive.outcome,
        };
        let service = directive.order.service.clone();
        let software = self.services.entry(service).or_default();
        let before = software.state();
        match directive.outcome {
            Some(outcome) => software.finish(&order, outcome, directive.is_stored, now_ms),
            None => {
                software.open(&order, u64::from(directive.age_ms), draw, now_ms);
                if let Some(open) = software.open_order(&directive.order) {
                    let decider = directive.decider.clone();
                    open.directives.insert(decider, (directive.clone(), now_ms));
                }
            }
        }
        software.state() != before
    }

    /// Returns what an engine of a version may be used for. `revision` is that of its
    /// entry in the list.
    ///
    /// The oldest entry of a version counts: one that was listed before the orders were
    /// read shows that none of them is about its version, though the entries of other
    /// engines have changed since. So the result for one engine may follow from another
    /// one, and all have to be looked at before the first is used.
    pub fn role(
        &mut self,
        service: &str,
        version: &str,
        revision: u64,
        now_ms: u64,
    ) -> SoftwareRole {
        if self.limits.is_none() {
            return SoftwareRole::InUse;
        }
        let view_revision = self.view_revision;
        let software = match self.services.get_mut(service) {
            Some(software) => software,
            None => self.services.entry(service.to_owned()).or_default(),
        };
        software.role(version, revision, view_revision, now_ms)
    }

    /// Returns whether a version has been held back for longer than `min_ms`, or an
    /// undecided order has no directive for as long. A service none of whose
    /// versions is known to be in use serves nobody, so its orders are needed at once.
    pub fn needs_view(&self, min_ms: u64, now_ms: u64) -> bool {
        self.services.values().any(|software| {
            let mut held = software.held.values();
            let min_held_ms = if software.in_use.is_empty() {
                0
            } else {
                min_ms
            };
            let is_held = held.any(|held| now_ms >= held.since_ms + min_held_ms);
            let is_unheard = software.open.as_ref().is_some_and(|open| {
                let heard = open.directives.values().map(|(_, heard_ms)| *heard_ms);
                now_ms >= heard.fold(open.opened_ms, u64::max) + min_ms
            });
            is_held || is_unheard
        })
    }

    /// Returns the engines to which a request of a service may be sent.
    ///
    /// Only the first attempt of a request is tried at the new version, so that
    /// retries don't add to what it gets.
    pub fn lane(
        &self,
        service: &str,
        may_run_again: bool,
        is_first_attempt: bool,
        now_ms: u64,
    ) -> Lane {
        let Some(open) = self.open(service) else {
            return Lane::InUse;
        };
        let (share_permille, only_repeatable) = open.share(&self.settings, now_ms);
        if share_permille >= 1_000 {
            return Lane::Shifted;
        }
        let may_be_tried = is_first_attempt && (may_run_again || !only_repeatable);
        if share_permille > 0 && may_be_tried && open.budget.has_credit() {
            let ratio = f64::from(share_permille) / 1_000.0;
            return Lane::Trial { ratio };
        }
        Lane::InUse
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, service: &str, lane: Lane, is_first_attempt: bool, now_ms: u64) {
        let settings = self.settings;
        let Some(open) = self.open_mut(service) else {
            return;
        };
        let (share_permille, _) = open.share(&settings, now_ms);
        if is_first_attempt && share_permille < 1_000 {
            let ratio = f64::from(share_permille) / 1_000.0;
            open.budget.record_request(ratio);
        }
        if matches!(lane, Lane::Trial { .. }) {
            open.budget.record_trial();
        }
    }

    /// Returns whether an order of a service is undecided.
    pub fn has_open_order(&self, service: &str) -> bool {
        self.open(service).is_some()
    }

    /// Records the result of a request at an engine of a version.
    pub fn record(&mut self, service: &str, version: &str, route: u32, sample: Sample) {
        let Some(open) = self.open_mut(service) else {
            return;
        };
        open.record(version, route, sample);
    }

    /// Records that an answer of an engine was lost or broke off. Several within a
    /// second count as one against its version.
    pub fn record_loss(&mut self, service: &str, version: &str, engine: &str, now_ms: u64) {
        let Some(open) = self.open_mut(service) else {
            return;
        };
        open.record_loss(version, engine, now_ms);
    }

    /// Returns the undecided orders that can be carried out, with the time since each
    /// was given.
    pub fn open_orders(&self, now_ms: u64) -> Vec<(CanaryOrder, u64)> {
        let open = self.services.values().filter_map(|software| {
            let open = software.open.as_ref()?;
            let elapsed_ms = open.elapsed_ms(now_ms);
            (!open.is_void).then(|| (open.order.clone(), elapsed_ms))
        });
        open.collect()
    }

    /// Returns the orders that were decided at most `max_age_ms` ago, with whether the
    /// store is known to have the result.
    pub fn finished_orders(&self, max_age_ms: u64, now_ms: u64) -> Vec<(CanaryOrder, bool)> {
        let finished = self.services.values();
        let finished = finished.filter_map(|software| software.finished.as_ref());
        let recent = finished.filter(|finished| now_ms <= finished.since_ms + max_age_ms);
        recent
            .map(|finished| {
                let order = CanaryOrder {
                    outcome: Some(finished.outcome),
                    ..finished.order.clone()
                };
                (order, finished.is_stored)
            })
            .collect()
    }

    /// Returns the share of requests that this instance sends to the new version of an
    /// undecided order, in thousandths.
    pub fn share_permille(&self, service: &str, now_ms: u64) -> u16 {
        self.open(service)
            .map_or(0, |open| open.share(&self.settings, now_ms).0)
    }

    /// Returns the results that this instance has seen of an undecided order.
    pub fn route_reports(&self, service: &str) -> Vec<RouteReport> {
        let Some(open) = self.open(service) else {
            return Vec::new();
        };
        let reports = open.samples.iter().map(|(&route, samples)| RouteReport {
            route,
            samples: samples.clone(),
        });
        reports.collect()
    }

    /// Returns the last lost answers that this instance has seen of an undecided order.
    pub fn losses(&self, service: &str) -> Vec<LossReport> {
        let open = self.open(service);
        open.map_or_else(Vec::new, |open| open.losses.iter().copied().collect())
    }

    /// Puts the result of an order in force.
    pub fn finish(&mut self, order: &CanaryOrder, outcome: Outcome, is_stored: bool, now_ms: u64) {
        let service = order.id.service.clone();
        let software = self.services.entry(service).or_default();
        software.finish(order, outcome, is_stored, now_ms);
    }

    fn open(&self, service: &str) -> Option<&OpenOrder> {
        let software = self.services.get(service)?;
        software.open.as_ref().filter(|open| !open.is_void)
    }

    fn open_mut(&mut self, service: &str) -> Option<&mut OpenOrder> {
        let software = self.services.get_mut(service)?;
        software.open.as_mut().filter(|open| !open.is_void)
    }
}
