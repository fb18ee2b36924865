//! A simulated fleet that carries out one order: instances, callers, engines of two
//! software versions, and messages that arrive late or not at all.

use {
    mangowalk_core::canary::{
        CanaryDirective, CanaryInputs, CanaryOrder, CanaryReport, CanarySettings, CanaryState,
        ExposureLimits, FleetReports, Lane, OrderId, Outcome, Sample, SoftwareRole, SoftwareTable,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::collections::BinaryHeap,
};

pub(crate) const SERVICE: &str = "desk";
const OLD: &str = "v1";
const NEW: &str = "v2";

/// Interval between two reports, and two steps of a decider.
const REPORT_INTERVAL_MS: u64 = 250;

/// Delay of a message between instances.
const MESSAGE_DELAY_MS: u64 = 4;

/// Delay until an instance learns of an order or a result from the store.
const STORE_DELAY_MS: u64 = 30;

/// Number of bad answers from which on a version may get requests for a short time only.
const MAX_BAD_ANSWERS: u32 = 50;

/// One kind of request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RouteModel {
    pub(crate) weight: f64,
    pub(crate) may_run_again: bool,
    /// Share of requests that fail at any engine.
    pub(crate) failing: f64,
    pub(crate) median_ms: f64,
    /// Standard deviation of the logarithm of the duration.
    pub(crate) spread: f64,
}

/// What is wrong with a version, and when it shows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Defect {
    /// Share of requests that fail.
    pub(crate) failing: f64,
    /// Factor by which answers take longer.
    pub(crate) slowdown: f64,
    /// Time after the order from which on it shows.
    pub(crate) from_ms: u64,
    /// Route on which it shows; all if `None`.
    pub(crate) route: Option<usize>,
    /// Load of an engine from which on it shows, relative to that of the old ones.
    pub(crate) from_load: f64,
}

impl Default for Defect {
    fn default() -> Defect {
        Defect {
            failing: 0.0,
            slowdown: 1.0,
            from_ms: 0,
            route: None,
            from_load: 0.0,
        }
    }
}

/// Faults beside the roll-out.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Troubles {
    /// Share of messages that are lost.
    pub(crate) lost_messages: f64,
    /// Share of the instances that restart at a random time, deciders included.
    pub(crate) restarts: f64,
    /// Share of the instances that hear nobody for a third of the time.
    pub(crate) cut_off: f64,
    /// Time at which one engine of the new version crashes for a second.
    pub(crate) crash_ms: Option<u64>,
    /// Factor by which the first answers of an engine take longer, until it has given
    /// twenty.
    pub(crate) cold_factor: f64,
}

#[derive(Debug, Clone)]
pub(crate) struct FleetModel {
    pub(crate) instances: usize,
    pub(crate) engines: usize,
    pub(crate) requests_per_s: f64,
    pub(crate) duration_ms: u64,
    pub(crate) routes: Vec<RouteModel>,
    pub(crate) defect: Option<Defect>,
    pub(crate) troubles: Troubles,
    pub(crate) settings: CanarySettings,
}

impl Default for FleetModel {
    /// A service like an application for orders: a hundred short requests a second.
    fn default() -> FleetModel {
        let order = RouteModel {
            weight: 0.6,
            may_run_again: false,
            failing: 0.004,
            median_ms: 30.0,
            spread: 0.5,
        };
        let lookup = RouteModel {
            weight: 0.4,
            may_run_again: true,
            failing: 0.02,
            ..order
        };
        FleetModel {
            instances: 58,
            engines: 4,
            requests_per_s: 100.0,
            duration_ms: 12_000,
            routes: vec![order, lookup],
            defect: None,
            troubles: Troubles::default(),
            settings: CanarySettings::default(),
        }
    }
}

/// What became of one order.
#[derive(Debug, Clone, Default)]
pub(crate) struct Played {
    pub(crate) outcome: Option<Outcome>,
    pub(crate) decided_ms: u64,
    /// Requests to the service and to the new version until the deadline.
    pub(crate) requests: u32,
    pub(crate) exposed: u32,
    pub(crate) bad_answers: u32,
    /// Time from the fiftieth bad answer to the last request to the new version.
    pub(crate) after_limit_ms: u64,
    /// Requests that ran at the old engines when these stopped.
    pub(crate) cut_off: u32,
    pub(crate) reason: String,
}

impl Played {
    /// Returns whether the new version got more than is allowed, where it was bad.
    pub(crate) fn is_over_exposed(&self, limits: &ExposureLimits) -> bool {
        let allowed = f64::from(self.requests) * limits.ratio + limits.slack_requests;
        f64::from(self.exposed) > allowed || self.after_limit_ms > limits.rollback_ms
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Answer {
        instance: usize,
        incarnation: u64,
        engine: usize,
        is_new: bool,
        route: usize,
        is_bad: bool,
        is_lost: bool,
        took_us: u64,
    },
    Report {
        to: usize,
        report: usize,
    },
    Directive {
        to: usize,
        directive: usize,
    },
    Result {
        to: usize,
    },
}

struct InstanceModel {
    table: SoftwareTable,
    incarnation: u64,
    unfinished_at_old: u32,
    next_report_ms: u64,
    restart_ms: Option<u64>,
    cut_from_ms: Option<u64>,
    decider: Option<(CanaryState, FleetReports)>,
}

#[derive(Clone, Default)]
struct EngineModel {
    answered: u32,
    recent_ms: Vec<u64>,
}

struct Simulation<'a> {
    model: &'a FleetModel,
    random: SmallRng,
    limits: ExposureLimits,
    instances: Vec<InstanceModel>,
    engines: [Vec<EngineModel>; 2],
    order: CanaryOrder,
    events: BinaryHeap<std::cmp::Reverse<(u64, u64, Event)>>,
    event_count: u64,
    reports: Vec<CanaryReport>,
    directives: Vec<CanaryDirective>,
    played: Played,
    limit_reached_ms: Option<u64>,
}

/// Plays one order from its start to two seconds after its deadline.
pub(crate) fn play(model: &FleetModel, seed: u64) -> Played {
    let mut random = SmallRng::seed_from_u64(seed);
    let limits = ExposureLimits::default();
    let order = CanaryOrder {
        id: OrderId {
            service: SERVICE.to_owned(),
            to: NEW.to_owned(),
            created: 100,
        },
        name: SERVICE.to_owned(),
        revision: 100,
        duration_ms: Some(model.duration_ms),
        is_started: false,
        outcome: None,
    };
    let mut instances = Vec::new();
    for number in 0..model.instances {
        let is_cut_off = number >= 2 && random.random_bool(model.troubles.cut_off);
        let restarts = random.random_bool(model.troubles.restarts);
        instances.push(InstanceModel {
            table: SoftwareTable::new(Some(limits), model.settings),
            incarnation: 1,
            unfinished_at_old: 0,
            next_report_ms: random.random_range(0..REPORT_INTERVAL_MS),
            restart_ms: restarts.then(|| random.random_range(1_000..model.duration_ms)),
            cut_from_ms: is_cut_off.then(|| random.random_range(0..model.duration_ms * 2 / 3)),
            decider: None,
        });
    }
    let mut simulation = Simulation {
        model,
        random,
        limits,
        instances,
        engines: [
            vec![EngineModel::default(); model.engines],
            vec![EngineModel::default(); model.engines],
        ],
        order,
        events: BinaryHeap::new(),
        event_count: 0,
        reports: Vec::new(),
        directives: Vec::new(),
        played: Played::default(),
        limit_reached_ms: None,
    };
    simulation.run();
    simulation.played
}

impl Simulation<'_> {
    fn run(&mut self) {
        for number in 0..self.instances.len() {
            self.start_instance(number, 0);
        }
        let end_ms = self.model.duration_ms + 2_000;
        for now_ms in 0..end_ms {
            self.handle_events(now_ms);
            self.restart_instances(now_ms);
            let mean = self.model.requests_per_s / 1_000.0;
            let mut arrivals = mean.floor() as u32;
            arrivals += u32::from(self.random.random_bool(mean.fract()));
            for _ in 0..arrivals {
                self.send_request(now_ms);
            }
            for number in 0..self.instances.len() {
                if now_ms >= self.instances[number].next_report_ms {
                    self.instances[number].next_report_ms = now_ms + REPORT_INTERVAL_MS;
                    self.report(number, now_ms);
                }
            }
        }
    }

    /// Gives a starting instance what it reads from the store.
    fn start_instance(&mut self, number: usize, now_ms: u64) {
        let draw = self.random.random();
        let instance = &mut self.instances[number];
        let table = &mut instance.table;
        // The version in use was there before the order.
        if self.played.outcome.is_none() {
            table.confirm_view(50);
            table.role(SERVICE, OLD, 10, now_ms);
        }
        table.replace_orders(
            std::slice::from_ref(&self.order),
            200,
            |_| now_ms,
            draw,
            now_ms,
        );
        table.role(SERVICE, NEW, 101, now_ms);
    }

    fn restart_instances(&mut self, now_ms: u64) {
        for number in 0..self.instances.len() {
            if self.instances[number].restart_ms != Some(now_ms) {
                continue;
            }
            let instance = &mut self.instances[number];
            instance.table = SoftwareTable::new(Some(self.limits), self.model.settings);
            instance.incarnation += 1;
            instance.unfinished_at_old = 0;
            instance.decider = None;
            self.start_instance(number, now_ms);
        }
    }

    fn send_request(&mut self, now_ms: u64) {
        let number = self.random.random_range(0..self.instances.len());
        let route = self.draw_route();
        let may_run_again = self.model.routes[route].may_run_again;
        let table = &mut self.instances[number].table;
        let lane = table.lane(SERVICE, may_run_again, true, now_ms);
        let new_role = table.role(SERVICE, NEW, 101, now_ms);
        let is_completed = self.played.outcome == Some(Outcome::Completed);
        let is_new = match lane {
            Lane::InUse => new_role == SoftwareRole::InUse,
            Lane::Trial { .. } | Lane::Shifted => new_role == SoftwareRole::Candidate,
        };
        table.record_sent(SERVICE, lane, true, now_ms);
        let tried = match lane {
            Lane::Trial { ratio } => (self.model.engines as f64 * ratio).ceil().max(1.0) as usize,
            Lane::InUse | Lane::Shifted => self.model.engines,
        };
        let engine = self.random.random_range(0..tried);
        if now_ms < self.model.duration_ms {
            self.played.requests += 1;
            self.played.exposed += u32::from(is_new);
        }
        if !is_new && is_completed {
            // The old engines have stopped; the request is sent again elsewhere.
            return;
        }
        if is_new && let Some(reached_ms) = self.limit_reached_ms {
            self.played.after_limit_ms = now_ms - reached_ms;
        }
        if !is_new {
            self.instances[number].unfinished_at_old += 1;
        }
        let event = self.run_request(number, engine, is_new, route, now_ms);
        let Event::Answer { took_us, .. } = &event else {
            return;
        };
        let at_ms = now_ms + took_us.div_ceil(1_000);
        self.schedule(at_ms, event);
    }

    fn draw_route(&mut self) -> usize {
        let mut left: f64 = self.random.random();
        for (route, model) in self.model.routes.iter().enumerate() {
            left -= model.weight;
            if left < 0.0 {
                return route;
            }
        }
        0
    }

    /// Returns the answer of an engine.
    fn run_request(
        &mut self,
        instance: usize,
        engine: usize,
        is_new: bool,
        route: usize,
        now_ms: u64,
    ) -> Event {
        let model = self.model;
        let kind = model.routes[route];
        let state = &mut self.engines[usize::from(is_new)][engine];
        state.recent_ms.retain(|&sent_ms| now_ms < sent_ms + 500);
        state.recent_ms.push(now_ms);
        let usual = model.requests_per_s / model.engines as f64;
        let load = state.recent_ms.len() as f64 * 2.0 / usual;
        let is_cold = state.answered < 20;
        state.answered += 1;
        let defect = model.defect.filter(|defect| {
            is_new
                && now_ms >= defect.from_ms
                && defect.route.is_none_or(|only| only == route)
                && load >= defect.from_load
        });
        let defect = defect.unwrap_or_default();
        let normal = (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0;
        let mut took_ms = kind.median_ms * (normal * kind.spread).exp() * defect.slowdown;
        if is_cold && is_new && model.troubles.cold_factor > 0.0 {
            took_ms *= model.troubles.cold_factor;
        }
        let is_crashed = model.troubles.crash_ms.is_some_and(|crash_ms| {
            is_new && engine == 0 && (crash_ms..crash_ms + 1_000).contains(&now_ms)
        });
        let fails_by_itself = self.random.random_bool(kind.failing);
        let is_defective = self.random.random_bool(defect.failing);
        if is_defective || defect.slowdown > 1.0 {
            self.played.bad_answers += 1;
            if self.played.bad_answers == MAX_BAD_ANSWERS {
                self.limit_reached_ms = Some(now_ms);
            }
        }
        Event::Answer {
            instance,
            incarnation: self.instances[instance].incarnation,
            engine,
            is_new,
            route,
            is_bad: fails_by_itself || is_defective,
            is_lost: is_crashed,
            took_us: (took_ms * 1_000.0) as u64,
        }
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.event_count += 1;
        self.events
            .push(std::cmp::Reverse((at_ms, self.event_count, event)));
    }

    fn handle_events(&mut self, now_ms: u64) {
        while let Some(std::cmp::Reverse((at_ms, _, _))) = self.events.peek() {
            if *at_ms > now_ms {
                return;
            }
            let std::cmp::Reverse((_, _, event)) = self.events.pop().expect("it was seen");
            self.handle(event, now_ms);
        }
    }

    fn handle(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::Answer {
                instance,
                incarnation,
                engine,
                is_new,
                route,
                is_bad,
                is_lost,
                took_us,
            } => {
                let instance = &mut self.instances[instance];
                if instance.incarnation != incarnation {
                    return;
                }
                if !is_new {
                    instance.unfinished_at_old -= 1;
                }
                let version = if is_new { NEW } else { OLD };
                let route = 1 + route as u32;
                if is_lost {
                    let engine = format!("{version}-{engine}");
                    let table = &mut instance.table;
                    table.record_loss(SERVICE, version, &engine, now_ms);
                    return;
                }
                let sample = match is_bad {
                    true => Sample::Failed,
                    false => Sample::Answered {
                        took_ms: Some(took_us as f64 / 1_000.0),
                    },
                };
                instance.table.record(SERVICE, version, route, sample);
            }
            Event::Report { to, report } => {
                let report = self.reports[report].clone();
                if let Some((_, fleet)) = &mut self.instances[to].decider {
                    fleet.receive(report, now_ms);
                }
            }
            Event::Directive { to, directive } => {
                let draw = self.random.random();
                let directive = &self.directives[directive];
                let table = &mut self.instances[to].table;
                table.apply_directive(directive, draw, now_ms);
            }
            Event::Result { to } => {
                let order = self.order.clone();
                let table = &mut self.instances[to].table;
                table.replace_orders(&[order], 300, |_| now_ms, 0.5, now_ms);
            }
        }
    }

    fn is_cut(&self, number: usize, now_ms: u64) -> bool {
        let length_ms = self.model.duration_ms / 3;
        self.instances[number]
            .cut_from_ms
            .is_some_and(|from_ms| (from_ms..from_ms + length_ms).contains(&now_ms))
    }

    fn is_delivered(&mut self, from: usize, to: usize, now_ms: u64) -> bool {
        let is_cut = from != to && (self.is_cut(from, now_ms) || self.is_cut(to, now_ms));
        !is_cut && !self.random.random_bool(self.model.troubles.lost_messages)
    }

    /// Sends what an instance has seen to the first two, and lets these decide.
    fn report(&mut self, number: usize, now_ms: u64) {
        let instance = &self.instances[number];
        let report = CanaryReport {
            instance: format!("i{number}"),
            incarnation: instance.incarnation,
            order: self.order.id.clone(),
            share_permille: instance.table.share_permille(SERVICE, now_ms),
            unfinished: instance.unfinished_at_old,
            routes: instance.table.route_reports(SERVICE),
            losses: instance.table.losses(SERVICE),
        };
        self.reports.push(report);
        let report = self.reports.len() - 1;
        for to in 0..2 {
            if self.is_delivered(number, to, now_ms) {
                self.schedule(now_ms + MESSAGE_DELAY_MS, Event::Report { to, report });
            }
        }
        if number < 2 {
            self.decide(number, now_ms);
        }
    }

    fn decide(&mut self, number: usize, now_ms: u64) {
        let open = self.instances[number].table.open_orders(now_ms);
        let Some((order, elapsed_ms)) = open.into_iter().next() else {
            return;
        };
        let live: Vec<(String, u64)> = (0..self.instances.len())
            .filter(|&other| other == number || !self.is_cut(other, now_ms))
            .map(|other| (format!("i{other}"), self.instances[other].incarnation))
            .collect();
        let (settings, limits) = (self.model.settings, self.limits);
        let decider = self.instances[number].decider.take();
        let (state, fleet) = decider
            .unwrap_or_else(|| (CanaryState::new(settings, limits), FleetReports::default()));
        let results = fleet.sums();
        let names = live.iter().map(|(name, start)| (name.as_str(), *start));
        let since_ms = now_ms.saturating_sub(4 * REPORT_INTERVAL_MS);
        let inputs = CanaryInputs {
            results: &results,
            all_shifted: fleet.have_shifted(names, since_ms),
            elapsed_ms,
            duration_ms: self.model.duration_ms,
        };
        let state = state.step(&inputs, now_ms);
        let decision = state.decision().copied();
        let directive = CanaryDirective {
            decider: format!("i{number}"),
            order: order.id.clone(),
            revision: order.revision,
            age_ms: elapsed_ms as u32,
            duration_ms: self.model.duration_ms as u32,
            share_permille: (state.share(&inputs) * 1_000.0) as u16,
            only_repeatable: state.is_cautious(&inputs),
            outcome: decision.map(|decided| decided.outcome),
            is_stored: decision.is_some(),
        };
        self.instances[number].decider = Some((state, fleet));
        if let Some(decided) = decision
            && self.played.outcome.is_none()
        {
            self.played.reason = decided.reason.to_string();
            self.store_result(decided.outcome, now_ms);
        }
        self.directives.push(directive);
        let directive = self.directives.len() - 1;
        for to in 0..self.instances.len() {
            if self.is_delivered(number, to, now_ms) {
                let delay_ms = if to == number { 0 } else { MESSAGE_DELAY_MS };
                self.schedule(now_ms + delay_ms, Event::Directive { to, directive });
            }
        }
    }

    /// Stores a result, which all instances read a little later.
    fn store_result(&mut self, outcome: Outcome, now_ms: u64) {
        self.order.outcome = Some(outcome);
        self.order.revision += 1;
        self.played.outcome = Some(outcome);
        self.played.decided_ms = now_ms;
        if outcome == Outcome::Completed {
            let unfinished = self.instances.iter();
            self.played.cut_off = unfinished.map(|instance| instance.unfinished_at_old).sum();
        }
        for to in 0..self.instances.len() {
            if !self.is_cut(to, now_ms) {
                self.schedule(now_ms + STORE_DELAY_MS, Event::Result { to });
            }
        }
    }
}
