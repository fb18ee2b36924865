use {
    crate::{clock::now_ms, instance::Instance},
    mangowalk_core::{
        mesh::{OrderPhase, OrderReport},
        pool::{EngineEntry, Incarnation},
        weights::{LoadConcurrency, OutdatedEngine},
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
    /// Maximum number of concurrent orders during this one; `None` if the engine
    /// had running requests to finish, in which case its load time is not
    /// measured.
    max_concurrent_loads: Option<usize>,
}

/// State of all orders that this instance has sent or planned.
pub(super) struct Progress {
    instance: Rc<Instance>,
    orders: HashMap<Incarnation, EngineOrder>,
    /// Number of orders that each engine has accepted, where known.
    accepted_orders: HashMap<Incarnation, u64>,
    concurrency: LoadConcurrency,
}

impl Progress {
    pub(super) fn new(instance: Rc<Instance>) -> Progress {
        Progress {
            instance,
            orders: HashMap::new(),
            accepted_orders: HashMap::new(),
            concurrency: LoadConcurrency::default(),
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
        let settings = &self.instance.settings;
        let within_ms =
            settings.weights.dispatch_until_ms as f64 * settings.plan.load_time_fraction;
        self.concurrency.limit(engines, within_ms as u64)
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
                .is_some_and(|order| now_ms < order.since_ms + ORDER_RETRY_MS),
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
                now_ms >= order.since_ms + FIRST_REPORT_DELAY_MS
                    && now_ms >= order.last_call_ms + REPORT_INTERVAL_MS
            })
            .filter_map(|(engine, _)| engines.get(&engine.id))
            .map(|known_engine| known_engine.entry.clone())
            .collect()
    }

    /// Applies an engine's answer to an order.
    pub(super) fn apply_answer(&mut self, update: &PendingUpdate, answer: OrderAnswer) {
        let engine = &update.entry.incarnation;
        match answer {
            OrderAnswer::Accepted => {
                if let Some(accepted_orders) = self.accepted_orders.get_mut(engine) {
                    *accepted_orders += 1;
                }
                self.set_phase(update, OrderPhase::Sent);
                self.update_max_loads(engine);
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
    fn update_max_loads(&mut self, engine: &Incarnation) {
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
                order.max_concurrent_loads = is_idle.then_some(loading);
            } else if let Some(max_loads) = &mut order.max_concurrent_loads {
                *max_loads = loading.max(*max_loads);
            }
        }
    }

    /// Applies an engine's report; `None` if the request for it failed.
    pub(super) fn apply_report(&mut self, entry: &EngineEntry, report: Option<&EngineReport>) {
        let engine = &entry.incarnation;
        if let Some(order) = self.orders.get_mut(engine) {
            order.has_call_in_flight = false;
            order.last_call_ms = now_ms();
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
            if let (OrderPhase::Sent, Some(loading)) = (order.phase, order.max_concurrent_loads) {
                self.concurrency.record_load(age_ms, loading);
                log::info!(
                    "event=weights_loaded engine={} version={} took_ms={age_ms} loading={loading} tried_at_once={}",
                    engine.id,
                    order.version,
                    self.load_limit(0),
                );
            }
            self.set_phase(&update, OrderPhase::Done);
        } else if order.phase == OrderPhase::Sent && !report.is_busy && age_ms >= REPORT_LAG_MS {
            self.set_phase(&update, OrderPhase::Planned);
        }
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
        let order = EngineOrder {
            model: update.model.clone(),
            version: update.version,
            phase,
            since_ms: now_ms,
            last_call_ms: now_ms,
            has_call_in_flight: false,
            max_concurrent_loads: None,
        };
        let report = order_report(&update.entry.incarnation, &order, now_ms);
        self.orders.insert(update.entry.incarnation.clone(), order);
        self.instance.apply_order_report(&report, now_ms);
        self.instance.wake_ups.heartbeat.notify_one();
    }

    /// Returns the order reports for the peers, and drops orders that were completed
    /// a while ago.
    pub(super) fn order_reports(&mut self) -> Vec<OrderReport> {
        let now_ms = now_ms();
        self.orders.retain(|_, order| {
            order.phase != OrderPhase::Done || now_ms < order.since_ms + DONE_REPORT_MS
        });
        let orders = self.orders.iter();
        orders
            .map(|(engine, order)| order_report(engine, order, now_ms))
            .collect()
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
