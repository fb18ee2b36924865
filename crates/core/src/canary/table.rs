use {
    super::{
        CanaryDirective, CanaryOrder, CanarySettings, ExposureBudget, ExposureLimits, LossReport,
        OrderId, Outcome, RouteReport, Sample, VersionSamples,
    },
    crate::pool::short_hash,
    std::collections::{BTreeMap, BTreeSet, VecDeque},
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

/// Maximum number of lost answers that are reported again and again, the last ones.
const MAX_LOSSES: usize = 32;

/// An order that is not decided.
#[derive(Debug)]
struct OpenOrder {
    order: CanaryOrder,
    /// When the order was given, on the clock of this instance. Negative if that was
    /// before its machine started.
    given_ms: i64,
    opened_ms: u64,
    /// Whether the service ran this version already, so that there is nothing to move.
    is_void: bool,
    directives: BTreeMap<String, (CanaryDirective, u64)>,
    budget: ExposureBudget,
    samples: BTreeMap<u32, VersionSamples>,
    losses: VecDeque<LossReport>,
}

/// A decided order.
#[derive(Debug, Clone, PartialEq, Eq)]
struct FinishedOrder {
    order: CanaryOrder,
    outcome: Outcome,
    is_stored: bool,
    since_ms: u64,
}

/// A version of which it isn't known whether an order concerns it.
#[derive(Debug)]
struct HeldVersion {
    first_revision: u64,
    since_ms: u64,
}

/// The software versions of one service.
#[derive(Debug, Default)]
struct ServiceSoftware {
    in_use: BTreeSet<String>,
    withdrawn: BTreeSet<String>,
    outgoing: BTreeSet<String>,
    held: BTreeMap<String, HeldVersion>,
    open: Option<OpenOrder>,
    finished: Option<FinishedOrder>,
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

    /// Sets the age up to which the word of a decider applies. In a large fleet deciders
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

    /// Takes in the word of a decider. Returns whether this instance hears of the
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
    /// undecided order has no word of a decider for as long. A service none of whose
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
        let is_candidate = version == open.order.id.to;
        let samples = open.samples.entry(route).or_default();
        match is_candidate {
            true => samples.candidate.record(sample),
            false => samples.current.record(sample),
        }
    }

    /// Records that an answer of an engine was lost or broke off. Several within a
    /// second count as one against its version.
    pub fn record_loss(&mut self, service: &str, version: &str, engine: &str, now_ms: u64) {
        let Some(open) = self.open_mut(service) else {
            return;
        };
        let loss = LossReport {
            engine: short_hash(engine),
            is_candidate: version == open.order.id.to,
            second: (open.elapsed_ms(now_ms) / 1_000) as u32,
        };
        if open.losses.contains(&loss) {
            return;
        }
        open.losses.push_back(loss);
        if open.losses.len() > MAX_LOSSES {
            open.losses.pop_front();
        }
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

impl ServiceSoftware {
    /// Returns which order is open and which is finished, to tell changes.
    fn state(&self) -> (Option<OrderId>, Option<(OrderId, Outcome)>) {
        let open = self.open.as_ref().map(|open| open.order.id.clone());
        let finished = self.finished.as_ref();
        let finished = finished.map(|finished| (finished.order.id.clone(), finished.outcome));
        (open, finished)
    }

    fn open_order(&mut self, id: &OrderId) -> Option<&mut OpenOrder> {
        self.open.as_mut().filter(|open| open.order.id == *id)
    }

    /// Opens an order, unless a newer one is known or it is decided. An older one that
    /// is open is given up.
    fn open(&mut self, order: &CanaryOrder, age_ms: u64, draw: f64, now_ms: u64) {
        let given_ms = now_ms as i64 - age_ms as i64;
        if let Some(open) = &mut self.open {
            if open.order.id == order.id {
                open.given_ms = open.given_ms.min(given_ms);
                open.update(order);
                return;
            }
            if open.order.revision >= order.revision {
                return;
            }
        }
        let finished = self.finished.as_ref().map(|finished| &finished.order);
        if finished
            .is_some_and(|finished| finished.id == order.id || finished.revision >= order.revision)
        {
            return;
        }
        let is_void = self.in_use.len() == 1 && self.in_use.contains(&order.id.to);
        if let Some(open) = self.open.take() {
            self.withdrawn.insert(open.order.id.to);
        }
        self.withdrawn.remove(&order.id.to);
        self.held.remove(&order.id.to);
        if !is_void {
            self.in_use.remove(&order.id.to);
        }
        self.open = Some(OpenOrder {
            order: order.clone(),
            given_ms,
            opened_ms: now_ms,
            is_void,
            directives: BTreeMap::new(),
            budget: ExposureBudget::new(draw),
            samples: BTreeMap::new(),
            losses: VecDeque::new(),
        });
    }

    /// Puts a result in force. What the store has is final; anything else gives way to
    /// it.
    fn finish(&mut self, order: &CanaryOrder, outcome: Outcome, is_stored: bool, now_ms: u64) {
        let open_revision = self.open.as_ref().map(|open| open.order.revision);
        let is_of_open = self.open_order(&order.id).is_some();
        if !is_of_open && open_revision.is_some_and(|open| open > order.revision) {
            return;
        }
        if let Some(finished) = &mut self.finished {
            if finished.order.id == order.id && finished.outcome == outcome {
                finished.is_stored |= is_stored;
                finished.order.update(order);
                return;
            }
            let is_older = finished.order.revision > order.revision;
            let is_final = finished.is_stored && finished.order.id == order.id;
            if is_final || (is_older && finished.order.id != order.id) {
                return;
            }
        }
        self.open = None;
        let to = order.id.to.clone();
        self.held.remove(&to);
        match outcome {
            Outcome::Completed => {
                self.withdrawn.remove(&to);
                self.outgoing.append(&mut self.in_use);
                self.outgoing.remove(&to);
                self.in_use.insert(to);
            }
            Outcome::RolledBack => {
                self.in_use.remove(&to);
                self.withdrawn.insert(to);
            }
        }
        self.finished = Some(FinishedOrder {
            order: order.clone(),
            outcome,
            is_stored,
            since_ms: now_ms,
        });
    }

    fn role(
        &mut self,
        version: &str,
        revision: u64,
        view_revision: Option<u64>,
        now_ms: u64,
    ) -> SoftwareRole {
        if self.in_use.contains(version) {
            return SoftwareRole::InUse;
        }
        if self.withdrawn.contains(version) {
            return SoftwareRole::Withdrawn;
        }
        let is_candidate = |open: &OpenOrder| open.order.id.to == version;
        if self.open.as_ref().is_some_and(is_candidate) {
            return SoftwareRole::Candidate;
        }
        if self.outgoing.contains(version) {
            return SoftwareRole::Outgoing;
        }
        let held = self.held.entry(version.to_owned()).or_insert(HeldVersion {
            first_revision: revision,
            since_ms: now_ms,
        });
        held.first_revision = held.first_revision.min(revision);
        let first_revision = held.first_revision;
        if view_revision.is_none_or(|view_revision| view_revision < first_revision) {
            return SoftwareRole::Held;
        }
        self.held.remove(version);
        let completed = self.finished.as_ref().filter(|finished| {
            finished.outcome == Outcome::Completed && first_revision < finished.order.revision
        });
        if completed.is_some() {
            self.outgoing.insert(version.to_owned());
            return SoftwareRole::Outgoing;
        }
        self.in_use.insert(version.to_owned());
        SoftwareRole::InUse
    }
}

impl CanaryOrder {
    /// Takes over what a newer reading of the same order says. What a peer tells has no
    /// name of the entry.
    fn update(&mut self, other: &CanaryOrder) {
        if other.revision >= self.revision {
            self.revision = other.revision;
            self.is_started |= other.is_started;
        }
        if self.name.is_empty() {
            self.name.clone_from(&other.name);
        }
    }
}

impl OpenOrder {
    fn update(&mut self, order: &CanaryOrder) {
        self.order.update(order);
    }

    fn elapsed_ms(&self, now_ms: u64) -> u64 {
        (now_ms as i64 - self.given_ms).max(0) as u64
    }

    /// Returns the share of requests for the new version, in thousandths, and whether
    /// only those that may run again are tried. It is the least that a decider has said
    /// lately, and nothing without their word.
    fn share(&self, settings: &CanarySettings, now_ms: u64) -> (u16, bool) {
        let fresh = self
            .directives
            .values()
            .filter(|(_, heard_ms)| now_ms <= heard_ms + settings.directive_valid_ms);
        let fresh = fresh.map(|(directive, _)| directive);
        let only_repeatable = fresh.clone().any(|directive| directive.only_repeatable);
        let least = fresh.map(|directive| directive.share_permille).min();
        (least.unwrap_or(0).min(1_000), only_repeatable)
    }
}
