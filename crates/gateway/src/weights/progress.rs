use {
    crate::{clock::now_ms, instance::Instance},
    mangowalk_core::{
        mesh::{OrderPhase, OrderReport},
        pool::{EngineEntry, Incarnation},
        weights::{
            ChangeProgress, FinishedLoad, LoadBounds, LoadConcurrency, LoadingPlaces,
            OutdatedEngine,
        },
    },
    mangowalk_platform::{EngineReport, OrderAnswer},
    std::{collections::HashMap, rc::Rc},
};

/// Time, in milliseconds, after which an order is sent again if the engine
/// accepted it or answered with a conflict, and its completion is not known.
const ORDER_RETRY_MS: u64 = 4_000;

/// Time from an order to the first request for a report, in milliseconds. An
/// engine takes a few hundred milliseconds to load.
const FIRST_REPORT_DELAY_MS: u64 = 330;

/// Minimum interval between report requests to one engine, in milliseconds. Each
/// call is billed.
const REPORT_INTERVAL_MS: u64 = 70;

/// Age of an order, in milliseconds, from which a report reflects it. Reports lag
/// by up to 200 ms.
const REPORT_LAG_MS: u64 = 500;

/// Time before the expected end of a load from which reports are requested, in
/// milliseconds.
const REPORT_LEAD_MS: u64 = 150;

/// Age, in milliseconds, with which the pause of an engine that waits for a loading
/// place is reported in changes with long loads. Peers end a pause at an age of
/// five seconds, so it is over two seconds after the last report of a holder that
/// died, and engines that wait for longer than five seconds stay paused.
const WAITING_REPORT_AGE_MS: u64 = 3_000;

/// Time for which a completed order is reported to peers, in milliseconds.
const DONE_REPORT_MS: u64 = 1_500;

/// An engine, a model whose newest weights it lacks, and the newest version.
#[derive(Debug, Clone)]
pub(super) struct PendingUpdate {
    pub(super) entry: EngineEntry,
    pub(super) model: String,
    pub(super) version: u64,
}

/// State of the order of one engine.
#[derive(Debug, Clone)]
struct EngineOrder {
    model: String,
    version: u64,
    phase: OrderPhase,
    since_ms: u64,
    last_call_ms: u64,
    /// Whether an order or report request is in flight.
    has_call_in_flight: bool,
    /// Maximum number of concurrent orders during this one.
    max_concurrent_loads: usize,
    /// Whether the engine had no running requests when it accepted the order.
    /// Otherwise it finished them first, unless they were cut off.
    is_idle: bool,
    /// Whether the order cut off running requests.
    is_cut: bool,
    /// Whether a report has shown that the engine carries out the order.
    is_seen_busy: bool,
    /// Number of orders that the engine had accepted with this one, if known.
    order_number: Option<u64>,
}

impl EngineOrder {
    fn new(update: &PendingUpdate, phase: OrderPhase, now_ms: u64) -> EngineOrder {
        EngineOrder {
            model: update.model.clone(),
            version: update.version,
            phase,
            since_ms: now_ms,
            last_call_ms: now_ms,
            has_call_in_flight: false,
            max_concurrent_loads: 0,
            is_idle: false,
            is_cut: false,
            is_seen_busy: false,
            order_number: None,
        }
    }
}

/// State of all orders that this instance has sent or planned.
pub(super) struct Progress {
    instance: Rc<Instance>,
    orders: HashMap<Incarnation, EngineOrder>,
    /// Number of orders that each engine has accepted, where known.
    accepted_orders: HashMap<Incarnation, u64>,
    concurrency: LoadConcurrency,
    places: LoadingPlaces,
}

impl Progress {
    pub(super) fn new(instance: Rc<Instance>) -> Progress {
        Progress {
            instance,
            orders: HashMap::new(),
            accepted_orders: HashMap::new(),
            concurrency: LoadConcurrency::default(),
            places: LoadingPlaces::default(),
        }
    }

    /// Clears all orders after the lease was lost, because another instance may
    /// have sent orders since.
    pub(super) fn clear(&mut self) {
        self.orders.clear();
        self.accepted_orders.clear();
    }

    pub(super) fn is_empty(&self) -> bool {
        self.orders.is_empty() && self.accepted_orders.is_empty()
    }

    /// Returns how many of `engines` engines may load concurrently.
    pub(super) fn load_limit(&self, engines: usize) -> usize {
        self.concurrency.limit(engines, self.change_time_ms())
    }

    /// Returns the time within which all loads of a change have to fit, in
    /// milliseconds.
    fn change_time_ms(&self) -> u64 {
        let settings = &self.instance.settings;
        let within_ms =
            settings.weights.dispatch_until_ms as f64 * settings.plan.load_time_fraction;
        within_ms as u64
    }

    /// Returns whether loads take long; see [`LoadingPlaces::is_long`].
    pub(super) fn has_long_loads(&self) -> bool {
        let settings = &self.instance.settings;
        settings.rolling.plans_long_loads && self.places.is_long(&settings.weights)
    }

    /// Returns how many of `engines` engines may and must load concurrently if
    /// loads take long.
    pub(super) fn load_bounds(&self, engines: usize) -> LoadBounds {
        let settings = &self.instance.settings.weights;
        let within_ms = self.change_time_ms();
        LoadBounds {
            max_loading: self.places.limit(engines, within_ms, settings),
            required: self.places.required(engines, within_ms, settings),
            expected_load_ms: self.places.expected_load_ms(settings),
            expected_end_ms: self.places.expected_end_ms(settings),
        }
    }

    /// Returns the progress of a change for operators, given its outdated engines and
    /// the number of all responsive engines.
    pub(super) fn change_progress(
        &self,
        outdated: &[OutdatedEngine],
        engines: usize,
    ) -> ChangeProgress {
        let left = outdated.iter().filter(|engine| engine.is_responsive);
        let loading = left.clone().filter(|engine| engine.has_pending_order);
        let paused = left
            .clone()
            .filter(|engine| engine.paused_since_ms.is_some());
        let limit = match self.has_long_loads() {
            true => self.load_bounds(engines).max_loading,
            false => self.load_limit(engines),
        };
        ChangeProgress {
            left: left.count(),
            loading: loading.count(),
            paused: paused.count(),
            limit,
            load_ms: self
                .places
                .expected_load_ms(&self.instance.settings.weights),
        }
    }

    /// Returns whether any order was sent and is not completed.
    pub(super) fn is_busy(&self) -> bool {
        let mut orders = self.orders.values();
        orders.any(|order| order.phase == OrderPhase::Sent)
    }

    /// Returns the number of orders that an engine has accepted, if known.
    pub(super) fn accepted_orders(&self, engine: &Incarnation) -> Option<u64> {
        self.accepted_orders.get(engine).copied()
    }

    /// Records that an order or report request was sent to an engine.
    pub(super) fn mark_call_started(&mut self, engine: &Incarnation) {
        if let Some(order) = self.orders.get_mut(engine) {
            order.has_call_in_flight = true;
            order.last_call_ms = now_ms();
        }
    }

    /// Returns whether an order or report request to an engine is in flight.
    pub(super) fn has_call_in_flight(&self, engine: &Incarnation) -> bool {
        self.orders
            .get(engine)
            .is_some_and(|order| order.has_call_in_flight)
    }

    /// Returns the state of an engine for planning the next steps.
    pub(super) fn outdated_engine(&self, update: &PendingUpdate, now_ms: u64) -> OutdatedEngine {
        let engines = self.instance.engines.borrow();
        let known_engine = engines.get(&update.entry.incarnation.id);
        let health = &self.instance.settings.choice.health;
        let order = self.orders.get(&update.entry.incarnation);
        let ordered = order.filter(|order| order.phase == OrderPhase::Sent);
        let planned = order.filter(|order| order.phase == OrderPhase::Planned);
        OutdatedEngine {
            id: update.entry.incarnation.id.clone(),
            paused_since_ms: planned.map(|order| order.since_ms),
            has_pending_order: ordered
                .is_some_and(|order| now_ms < order.since_ms + self.order_retry_ms()),
            ordered_ms: ordered.map(|order| order.since_ms),
            version: known_engine.map_or(0, |known_engine| known_engine.version(&update.model)),
            requests: known_engine.map_or(0, |known_engine| known_engine.load().requests),
            must_finish: known_engine.map_or(0, |known_engine| known_engine.load().must_finish),
            is_responsive: known_engine
                .is_some_and(|known_engine| known_engine.is_responsive(health, now_ms)),
        }
    }

    /// Returns the engines whose report is due, to check whether their order is
    /// completed.
    pub(super) fn reports_due(&self) -> Vec<EngineEntry> {
        let now_ms = now_ms();
        let engines = self.instance.engines.borrow();
        self.orders
            .iter()
            .filter(|(_, order)| order.phase == OrderPhase::Sent && !order.has_call_in_flight)
            .filter(|(_, order)| {
                now_ms >= order.since_ms + self.report_delay_ms(order)
                    && now_ms >= order.last_call_ms + REPORT_INTERVAL_MS
            })
            .filter_map(|(engine, _)| engines.get(&engine.id))
            .map(|known_engine| known_engine.entry.clone())
            .collect()
    }

    /// Returns the time from an order to the next request for a report. While a long
    /// load is known to be under way, no report is needed before it should end.
    fn report_delay_ms(&self, order: &EngineOrder) -> u64 {
        if !order.is_seen_busy || !self.has_long_loads() {
            return FIRST_REPORT_DELAY_MS;
        }
        let expected_ms = self
            .places
            .expected_load_ms(&self.instance.settings.weights);
        expected_ms
            .saturating_sub(REPORT_LEAD_MS)
            .max(FIRST_REPORT_DELAY_MS)
    }

    /// Returns the time after which an order is sent again. Beyond the full-speed
    /// number, a load takes up to twice as long as expected.
    fn order_retry_ms(&self) -> u64 {
        let expected_ms = self
            .places
            .expected_load_ms(&self.instance.settings.weights);
        match self.has_long_loads() {
            true => ORDER_RETRY_MS.max(2 * expected_ms),
            false => ORDER_RETRY_MS,
        }
    }

    /// Applies an engine's answer to an order; `cut` says whether the order cut off
    /// running requests.
    pub(super) fn apply_answer(&mut self, update: &PendingUpdate, cut: bool, answer: OrderAnswer) {
        let engine = &update.entry.incarnation;
        match answer {
            OrderAnswer::Accepted => {
                if let Some(accepted_orders) = self.accepted_orders.get_mut(engine) {
                    *accepted_orders += 1;
                }
                self.set_phase(update, OrderPhase::Sent);
                self.update_max_loads(engine, cut);
            }
            OrderAnswer::Holds => self.set_phase(update, OrderPhase::Done),
            // Either an earlier order is running, or the number of accepted
            // orders differs; the next report shows which.
            OrderAnswer::Conflict => {
                self.accepted_orders.remove(engine);
                self.set_phase(update, OrderPhase::Sent);
            }
            OrderAnswer::Unknown | OrderAnswer::Fenced => {
                self.accepted_orders.remove(engine);
                self.set_phase(update, OrderPhase::Planned);
            }
            OrderAnswer::OtherEngine | OrderAnswer::Invalid => {
                self.accepted_orders.remove(engine);
                self.orders.remove(engine);
            }
        }
    }

    /// Records the number of concurrent orders, for the measurement of load times.
    fn update_max_loads(&mut self, engine: &Incarnation, cut: bool) {
        let loading = self
            .orders
            .values()
            .filter(|order| order.phase == OrderPhase::Sent)
            .count();
        let engines = self.instance.engines.borrow();
        let is_idle = engines
            .get(&engine.id)
            .is_some_and(|known_engine| known_engine.load().requests == 0);
        for (other, order) in &mut self.orders {
            if other == engine {
                (order.is_idle, order.is_cut) = (is_idle, cut);
                order.order_number = self.accepted_orders.get(engine).copied();
            }
            order.max_concurrent_loads = loading.max(order.max_concurrent_loads);
        }
    }

    /// Applies an engine's report; `None` if the request for it failed.
    pub(super) fn apply_report(&mut self, entry: &EngineEntry, report: Option<&EngineReport>) {
        let engine = &entry.incarnation;
        if let Some(order) = self.orders.get_mut(engine) {
            order.has_call_in_flight = false;
            order.last_call_ms = now_ms();
            order.is_seen_busy |= report.is_some_and(|report| report.is_busy);
        }
        let Some(report) = report else {
            return;
        };
        self.accepted_orders
            .insert(engine.clone(), report.orders_accepted);
        let Some(order) = self.orders.get(engine).cloned() else {
            return;
        };
        let update = PendingUpdate {
            entry: entry.clone(),
            model: order.model.clone(),
            version: order.version,
        };
        let mut models = report.models.iter();
        let has_version = models.any(|m| m.model == order.model && m.version >= order.version);
        let age_ms = now_ms().saturating_sub(order.since_ms);
        if has_version {
            let is_same_start = order
                .order_number
                .is_none_or(|number| report.includes_order(number));
            if order.phase == OrderPhase::Sent && is_same_start {
                self.record_load(engine, &order, age_ms);
            } else if order.phase == OrderPhase::Sent {
                self.instance.counters.count("weights_load", "restarted");
            }
            self.set_phase(&update, OrderPhase::Done);
        } else if order.phase == OrderPhase::Sent && !report.is_busy && age_ms >= REPORT_LAG_MS {
            self.instance.counters.count("weights_load", "not_begun");
            self.set_phase(&update, OrderPhase::Planned);
        }
    }

    /// Records the duration of a load, if the engine began it at once.
    fn record_load(&mut self, engine: &Incarnation, order: &EngineOrder, age_ms: u64) {
        let is_replaced = order.version < self.newest_version(&order.model);
        let outcome = if is_replaced { "replaced" } else { "done" };
        self.instance.counters.count("weights_load", outcome);
        let loading = order.max_concurrent_loads;
        if order.is_idle {
            self.concurrency.record_load(age_ms, loading);
        }
        if !order.is_idle && !order.is_cut {
            return;
        }
        let load = FinishedLoad {
            ordered_ms: order.since_ms,
            ended_ms: order.since_ms + age_ms,
            concurrent: loading,
        };
        let (engines, within_ms) = (self.engine_count(&order.model), self.change_time_ms());
        let settings = &self.instance.settings.weights;
        self.places.record_load(&load, engines, within_ms, settings);
        let tried_at_once = match self.has_long_loads() {
            true => self.load_bounds(engines).max_loading,
            false => self.load_limit(0),
        };
        log::info!(
            "event=weights_loaded engine={} version={} took_ms={age_ms} loading={loading} tried_at_once={tried_at_once}",
            engine.id,
            order.version,
        );
    }

    fn newest_version(&self, model: &str) -> u64 {
        let histories = self.instance.weights_histories.borrow();
        histories.get(model).map_or(0, |history| history.newest())
    }

    /// Returns the number of responsive engines of a model.
    fn engine_count(&self, model: &str) -> usize {
        let now_ms = now_ms();
        let engines = self.instance.engines.borrow();
        let serves = |entry: &EngineEntry| entry.models.iter().any(|m| m.model == model);
        engines
            .staying_engines(now_ms)
            .filter(|engine| serves(&engine.entry) && !engine.is_silent(now_ms))
            .count()
    }

    /// Sets the phase of an engine's order, applies it to this instance, and sends
    /// a heartbeat to the peers.
    pub(super) fn set_phase(&mut self, update: &PendingUpdate, phase: OrderPhase) {
        let now_ms = now_ms();
        let previous = self.orders.get(&update.entry.incarnation);
        log::info!(
            "event=weights_step engine={} version={} phase={phase:?} before_ms={:?}",
            update.entry.incarnation.id,
            update.version,
            previous.map(|order| now_ms.saturating_sub(order.since_ms)),
        );
        self.set_order(update, phase, now_ms);
    }

    /// Ends the pause of an engine that waits for a loading place. Its order is
    /// reported as done with the version that it has.
    pub(super) fn resume(&mut self, update: &PendingUpdate) {
        let now_ms = now_ms();
        let version = {
            let engines = self.instance.engines.borrow();
            let known_engine = engines.get(&update.entry.incarnation.id);
            known_engine.map_or(0, |engine| engine.version(&update.model))
        };
        log::info!(
            "event=weights_step engine={} version={} phase=Resumed",
            update.entry.incarnation.id,
            update.version,
        );
        self.instance.counters.count("weights_pause", "resumed");
        let current = PendingUpdate {
            version,
            ..update.clone()
        };
        self.set_order(&current, OrderPhase::Done, now_ms);
    }

    fn set_order(&mut self, update: &PendingUpdate, phase: OrderPhase, now_ms: u64) {
        let order = EngineOrder::new(update, phase, now_ms);
        let report = order_report(&update.entry.incarnation, &order, now_ms);
        self.orders.insert(update.entry.incarnation.clone(), order);
        self.instance.apply_order_report(&report, now_ms);
        self.instance.wake_ups.heartbeat.notify_one();
    }

    /// Returns the order reports for the peers, and drops orders that were completed
    /// a while ago.
    pub(super) fn order_reports(&mut self) -> Vec<OrderReport> {
        let now_ms = now_ms();
        self.drop_former_starts();
        self.orders.retain(|_, order| {
            order.phase != OrderPhase::Done || now_ms < order.since_ms + DONE_REPORT_MS
        });
        let has_long_loads = self.has_long_loads();
        if has_long_loads {
            self.drop_settled_pauses();
        }
        let orders = self.orders.iter();
        let reports = orders.map(|(engine, order)| {
            let mut report = order_report(engine, order, now_ms);
            if has_long_loads && order.phase == OrderPhase::Planned {
                report.age_ms = WAITING_REPORT_AGE_MS as u32;
                self.instance.apply_order_report(&report, now_ms);
            }
            report
        });
        reports.collect()
    }

    /// Drops what concerns former starts of engines. Their orders are never completed:
    /// they would count as concurrent loads, ask the present start for a report at each
    /// poll, and renew its pause, for as long as this instance holds the lease.
    fn drop_former_starts(&mut self) {
        let engines = self.instance.engines.borrow();
        self.orders
            .retain(|engine, order| order.phase == OrderPhase::Done || engines.has_start(engine));
        self.accepted_orders
            .retain(|engine, _| engines.has_start(engine));
    }

    /// Drops pauses of engines that are gone or have the weights already. Those with
    /// long loads would otherwise be renewed at peers for as long as this instance
    /// holds the lease.
    fn drop_settled_pauses(&mut self) {
        let engines = self.instance.engines.borrow();
        self.orders.retain(|engine, order| {
            let known_engine = engines.get(&engine.id);
            let is_outdated =
                known_engine.is_some_and(|known| known.version(&order.model) < order.version);
            order.phase != OrderPhase::Planned || is_outdated
        });
    }
}

fn order_report(engine: &Incarnation, order: &EngineOrder, now_ms: u64) -> OrderReport {
    OrderReport {
        engine: engine.id.clone(),
        model: order.model.clone(),
        version: order.version,
        phase: order.phase,
        age_ms: now_ms.saturating_sub(order.since_ms) as u32,
    }
}
