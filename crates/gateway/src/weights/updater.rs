use {
    super::{
        engine_calls::{fetch_report, send_order},
        lease::OrderLeaseManager,
        progress::{PendingUpdate, Progress},
    },
    crate::{clock::now_ms, instance::Instance, store::CallClient},
    mangowalk_core::{
        mesh::OrderPhase,
        pool::EngineEntry,
        weights::{ModelLoad, OutdatedEngine, Step, plan, plan_rolling},
    },
    mangowalk_platform::{EngineReport, OrderAnswer, WeightsOrder},
    std::{
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
        task::spawn_local,
        time::sleep,
    },
};

/// Poll interval while this instance holds the lease and engines are outdated or
/// orders are open.
const ACTIVE_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Poll interval while engines are outdated and this instance does not hold the
/// lease.
const STANDBY_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Poll interval while nothing is to be done; a notification ends it early.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Validity that the lease must have left for orders without a renewal, in
/// milliseconds: the time in which a group of orders is sent.
const MIN_LEASE_LEFT_MS: u64 = 300;

/// Interval of log lines on a change under way, in milliseconds.
const CHANGE_LOG_INTERVAL_MS: u64 = 1_000;

/// Result of a call to an engine.
enum EngineResponse {
    /// Answer to an order, and whether the order cut off running requests.
    Answer(PendingUpdate, bool, OrderAnswer),
    Report(EngineEntry, Option<EngineReport>),
}

/// Updates outdated engines while this instance holds the lease.
struct WeightsUpdater {
    instance: Rc<Instance>,
    order_lease: OrderLeaseManager,
    progress: Progress,
    responses_tx: UnboundedSender<EngineResponse>,
    responses_rx: UnboundedReceiver<EngineResponse>,
    outdated_since_ms: Option<u64>,
    last_change_log_ms: u64,
}

/// Sends orders to engines whenever some lack the newest weights. Runs until the
/// task is dropped.
pub async fn run_weights_updater(instance: Rc<Instance>, store: Rc<CallClient>) {
    let (responses_tx, responses_rx) = unbounded_channel();
    let mut updater = WeightsUpdater {
        order_lease: OrderLeaseManager::new(instance.clone(), store),
        progress: Progress::new(instance.clone()),
        instance: instance.clone(),
        responses_tx,
        responses_rx,
        outdated_since_ms: None,
        last_change_log_ms: 0,
    };
    loop {
        let pause = updater.poll().await;
        tokio::select! {
            () = sleep(pause) => {}
            () = instance.wake_ups.orders.notified() => {}
        }
    }
}

/// Returns the models of pending updates, each once.
fn pending_models(pending: &[PendingUpdate]) -> BTreeSet<&str> {
    pending.iter().map(|update| update.model.as_str()).collect()
}

impl WeightsUpdater {
    /// Performs the steps that are due, and returns the time until the next poll.
    async fn poll(&mut self) -> Duration {
        self.apply_responses();
        let pending = self.pending_updates();
        self.order_lease
            .release_when_draining(self.progress.is_busy());
        self.order_lease.release_without_path();
        if pending.is_empty() {
            self.outdated_since_ms = None;
        } else {
            let since_ms = *self.outdated_since_ms.get_or_insert(now_ms());
            self.order_lease.acquire_if_due(since_ms).await;
        }
        if self.order_lease.held().is_none() {
            if !self.progress.is_empty() {
                self.progress.clear();
            }
            self.instance.order_reports.borrow_mut().clear();
            self.instance.weights_changes.borrow_mut().clear();
            return if pending.is_empty() {
                IDLE_POLL_INTERVAL
            } else {
                STANDBY_POLL_INTERVAL
            };
        }
        self.report_changes(&pending);
        if !pending.is_empty() {
            self.advance(&pending).await;
        }
        *self.instance.order_reports.borrow_mut() = self.progress.order_reports();
        if pending.is_empty() && !self.progress.is_busy() {
            return IDLE_POLL_INTERVAL;
        }
        ACTIVE_POLL_INTERVAL
    }

    fn apply_responses(&mut self) {
        while let Ok(response) = self.responses_rx.try_recv() {
            match response {
                EngineResponse::Answer(update, cut, answer) => {
                    self.progress.apply_answer(&update, cut, answer)
                }
                EngineResponse::Report(entry, report) => {
                    self.progress.apply_report(&entry, report.as_ref())
                }
            }
        }
    }

    /// Returns all engines that lack the newest weights of one of their models.
    fn pending_updates(&self) -> Vec<PendingUpdate> {
        let newest = self.instance.weights_histories.borrow();
        let engines = self.instance.engines.borrow();
        let mut pending = Vec::new();
        for engine in engines.staying_engines(now_ms()) {
            for model in &engine.entry.models {
                let version = newest
                    .get(&model.model)
                    .map_or(0, |history| history.newest());
                if engine.version(&model.model) < version {
                    pending.push(PendingUpdate {
                        entry: engine.entry.clone(),
                        model: model.model.clone(),
                        version,
                    });
                }
            }
        }
        pending
    }

    /// Requests reports that are due, plans the next steps, and sends the orders
    /// among them after renewing the lease.
    async fn advance(&mut self, pending: &[PendingUpdate]) {
        for entry in self.progress.reports_due() {
            self.request_report(entry);
        }
        if self
            .order_lease
            .held()
            .is_none_or(|lease| lease.is_waiting(now_ms()))
        {
            return;
        }
        let mut ready = Vec::new();
        for (step, update) in self.plan_steps(pending) {
            match step {
                Step::Pause(_) => {
                    self.instance.counters.count("weights_pause", "paused");
                    self.progress.set_phase(&update, OrderPhase::Planned);
                }
                Step::Resume(_) => self.progress.resume(&update),
                Step::Order { cut, .. } => ready.push((update, cut)),
            }
        }
        ready.retain(|(update, _)| !self.progress.has_call_in_flight(&update.entry.incarnation));
        // An order contains the number of orders accepted before it, so that
        // number must be known.
        ready.retain(|(update, _)| {
            let is_known = self
                .progress
                .accepted_orders(&update.entry.incarnation)
                .is_some();
            if !is_known {
                self.request_report(update.entry.clone());
            }
            is_known
        });
        if ready.is_empty() || !self.renew_if_due().await {
            return;
        }
        for (update, cut) in ready {
            self.send_order(self.with_newest_version(update), cut);
        }
    }

    /// Renews the lease before a group of orders. Returns whether orders may be sent.
    ///
    /// With long loads, places come free one after the other, and a write to the store
    /// before each order would leave them unused meanwhile; a recent renewal serves
    /// for several orders.
    async fn renew_if_due(&mut self) -> bool {
        let is_recent = self
            .order_lease
            .held()
            .is_some_and(|lease| lease.may_order(now_ms() + MIN_LEASE_LEFT_MS));
        if is_recent && self.progress.has_long_loads() {
            return true;
        }
        self.order_lease.renew().await
    }

    /// Returns an update with the newest version, which may have been published while
    /// the lease was renewed.
    fn with_newest_version(&self, update: PendingUpdate) -> PendingUpdate {
        let histories = self.instance.weights_histories.borrow();
        let newest = histories.get(&update.model).map(|history| history.newest());
        PendingUpdate {
            version: newest.unwrap_or(0).max(update.version),
            ..update
        }
    }

    fn request_report(&mut self, entry: EngineEntry) {
        self.progress.mark_call_started(&entry.incarnation);
        let responses_tx = self.responses_tx.clone();
        let instance = self.instance.clone();
        spawn_local(async move {
            let report = fetch_report(&entry).await;
            // Can't fail: the receiver lives as long as the process.
            let _ = responses_tx.send(EngineResponse::Report(entry, report));
            instance.wake_ups.orders.notify_one();
        });
    }

    fn send_order(&mut self, update: PendingUpdate, cut: bool) {
        let (Some(lease), Some(accepted_before)) = (
            self.order_lease.held(),
            self.progress.accepted_orders(&update.entry.incarnation),
        ) else {
            return;
        };
        if !lease.may_order(now_ms()) {
            return;
        }
        let fence = lease.state().fence;
        self.progress.mark_call_started(&update.entry.incarnation);
        self.instance.last_order_ms.set(Some(now_ms()));
        let (responses_tx, instance) = (self.responses_tx.clone(), self.instance.clone());
        spawn_local(async move {
            let order = WeightsOrder {
                engine: &update.entry.incarnation.id,
                model: &update.model,
                version: update.version,
                cuts_off_running: cut,
                holder: &instance.machine().name,
                fence,
                accepted_before,
            };
            let answer = send_order(&update.entry, &order).await;
            log::info!(
                "event=ordered engine={} model={} version={} cut={cut} fence={fence} accepted_before={accepted_before} answer={answer:?}",
                update.entry.incarnation.id,
                update.model,
                update.version,
            );
            // Can't fail: the receiver lives as long as the process.
            let _ = responses_tx.send(EngineResponse::Answer(update, cut, answer));
            instance.wake_ups.orders.notify_one();
        });
    }

    /// Reports the progress of all changes to operators, once per
    /// [`CHANGE_LOG_INTERVAL_MS`] and when the last one ends.
    fn report_changes(&mut self, pending: &[PendingUpdate]) {
        let now_ms = now_ms();
        let is_due = now_ms >= self.last_change_log_ms + CHANGE_LOG_INTERVAL_MS;
        if !pending.is_empty() && !is_due {
            return;
        }
        let mut changes = BTreeMap::new();
        for model in pending_models(pending) {
            let updates = pending.iter().filter(|update| update.model == model);
            let outdated: Vec<OutdatedEngine> = updates
                .map(|update| self.progress.outdated_engine(update, now_ms))
                .collect();
            let engines = self.model_load(model).engines;
            let change = self.progress.change_progress(&outdated, engines);
            changes.insert(model.to_owned(), change);
        }
        let has_long_loads = self.progress.has_long_loads();
        for (model, change) in &changes {
            log::info!("event=weights_change model={model} {change} long_loads={has_long_loads}");
            self.last_change_log_ms = now_ms;
        }
        *self.instance.weights_changes.borrow_mut() = changes;
    }

    /// Returns the next steps of all models with pending updates.
    fn plan_steps(&self, pending: &[PendingUpdate]) -> Vec<(Step, PendingUpdate)> {
        let mut steps = Vec::new();
        let now_ms = now_ms();
        for model in pending_models(pending) {
            let model_updates: Vec<&PendingUpdate> = pending
                .iter()
                .filter(|update| update.model == model)
                .collect();
            let outdated: Vec<OutdatedEngine> = model_updates
                .iter()
                .map(|update| self.progress.outdated_engine(update, now_ms))
                .collect();
            for step in self.model_steps(model, &outdated, now_ms) {
                let mut model_updates = model_updates.iter();
                let update =
                    model_updates.find(|update| update.entry.incarnation.id == step.engine());
                if let Some(update) = update {
                    steps.push((step.clone(), (*update).clone()));
                }
            }
        }
        steps
    }

    /// Returns the next steps of one model, with the plan for the duration of its loads.
    fn model_steps(&self, model: &str, outdated: &[OutdatedEngine], now_ms: u64) -> Vec<Step> {
        let load = self.model_load(model);
        let max_cut_requests = self.max_cut_requests(model);
        let settings = &self.instance.settings;
        if !self.progress.has_long_loads() {
            let load_limit = self.progress.load_limit(load.engines);
            return plan(
                outdated,
                load.engines,
                load.requests,
                load_limit,
                max_cut_requests,
                &settings.plan,
                now_ms,
            );
        }
        let bounds = self.progress.load_bounds(load.engines);
        plan_rolling(
            outdated,
            &load,
            &bounds,
            max_cut_requests,
            &settings.rolling,
            now_ms,
        )
    }

    /// Returns how many requests of a model may be cut off. Each is sent again,
    /// which uses one retry of its service's budget.
    fn max_cut_requests(&self, model: &str) -> u32 {
        let now_ms = now_ms();
        let engines = self.instance.engines.borrow();
        let mut engines = engines.iter();
        let serves = |entry: &EngineEntry| entry.models.iter().any(|m| m.model == model);
        let Some(engine) = engines.find(|engine| serves(&engine.entry)) else {
            return 0;
        };
        self.instance
            .remaining_retries(&engine.entry.service, now_ms)
    }

    /// Returns the known work at the responsive engines of a model.
    fn model_load(&self, model: &str) -> ModelLoad {
        let now_ms = now_ms();
        let engines = self.instance.engines.borrow();
        let serves = |entry: &EngineEntry| entry.models.iter().any(|m| m.model == model);
        let answering = engines
            .staying_engines(now_ms)
            .filter(|engine| serves(&engine.entry) && !engine.is_silent(now_ms));
        let loads = answering.clone().map(|engine| engine.load());
        let unread_tokens: f64 = loads
            .clone()
            .map(|load| f64::from(load.prefill_tokens))
            .sum();
        let slots = answering.clone().map(|engine| engine.entry.slots).min();
        ModelLoad {
            engines: answering.count(),
            slots: slots.unwrap_or(0),
            requests: loads.map(|load| load.requests).sum(),
            unread_ms: unread_tokens / self.instance.prefill_rate.get().tokens_per_ms(),
        }
    }
}
