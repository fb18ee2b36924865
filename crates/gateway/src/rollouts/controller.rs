use {
    crate::{
        clock::now_ms,
        instance::Instance,
        mesh::{send_canary_to_all, send_canary_to_readers},
        store::CallClient,
    },
    mangowalk_core::canary::{
        CanaryDirective, CanaryInputs, CanaryOrder, CanaryReport, CanarySettings, CanaryState,
        Decided, FleetReports, OrderId, Outcome,
    },
    mangowalk_platform::{Freshness, decode_object, decode_rollout, encode_rollout_state},
    std::{cell::Cell, collections::BTreeMap, future::pending, rc::Rc, time::Duration},
    tokio::{net::UdpSocket, task::spawn_local, time::sleep},
};

/// Minimum interval between two reports, and between two directives of a decider.
const MIN_INTERVAL_MS: u64 = 200;

/// Share of the interval for each instance. A decider receives the reports of all, and
/// a small machine handles a few hundred messages a second.
const INTERVAL_MS_PER_INSTANCE: u64 = 4;

/// Pause while no order is open and none has ended lately.
const IDLE_INTERVAL: Duration = Duration::from_millis(300);

/// Number of instances that get reports: those that decide, and the next one, which
/// takes over where one of them is lost.
const REPORT_RECEIVERS: usize = 3;

/// Number of reports or directives that may be lost before an instance counts as not heard.
const MAX_LOST_REPORTS: u64 = 4;

/// Time for which a result is told to the peers.
const RESULT_TOLD_MS: u64 = 30_000;

/// Number of turns between two directives of a decider about a result.
const TURNS_PER_RESULT: u64 = 4;

/// Pause before a write of a state that failed is tried again, and by which each
/// further decider waits for the one before it to write.
const WRITE_INTERVAL_MS: u64 = 600;

/// What a decider keeps of one order.
struct OpenDecision {
    state: CanaryState,
    share_permille: u16,
    is_unusable_logged: bool,
}

impl OpenDecision {
    fn begin(state: CanaryState, order: &CanaryOrder, elapsed_ms: u64) -> OpenDecision {
        log::info!(
            "event=rollout_deciding order={} revision={} elapsed_ms={elapsed_ms} duration_ms={:?}",
            order.id,
            order.revision,
            order.duration_ms,
        );
        OpenDecision {
            state,
            share_permille: 0,
            is_unusable_logged: false,
        }
    }

    /// Takes in what is known, and logs a change of the share.
    fn step(&mut self, order: &CanaryOrder, inputs: &CanaryInputs<'_>, now_ms: u64) {
        self.state = self.state.clone().step(inputs, now_ms);
        let share_permille = (self.state.share(inputs) * 1_000.0) as u16;
        if share_permille == self.share_permille {
            return;
        }
        log::info!(
            "event=rollout_share order={} before_permille={} permille={share_permille} \
             elapsed_ms={} routes={}",
            order.id,
            self.share_permille,
            inputs.elapsed_ms,
            inputs.results.len(),
        );
        self.share_permille = share_permille;
    }

    /// Logs, once, that an order has no usable time.
    fn log_unusable(&mut self, order: &CanaryOrder) {
        if !std::mem::replace(&mut self.is_unusable_logged, true) {
            log::warn!(
                "event=rollout_refused order={} reason=duration remedy=\"write a duration of \
                 more than 0 seconds and at most a day\"",
                order.id,
            );
        }
    }
}

/// Carries out the orders that this instance knows: reports, and decides where it is
/// one of the deciders.
struct RolloutController {
    instance: Rc<Instance>,
    store: Rc<CallClient>,
    socket: Rc<UdpSocket>,
    open_decisions: BTreeMap<OrderId, OpenDecision>,
    turn: u64,
    /// Earliest time of the next write of a state.
    next_write_ms: u64,
    is_writing: Rc<Cell<bool>>,
}

/// Carries out operators' orders to replace a service's software; never returns.
pub async fn run_rollouts(instance: Rc<Instance>, store: Rc<CallClient>, socket: Rc<UdpSocket>) {
    if instance.machine().exposure.is_none() {
        return pending().await;
    }
    let mut controller = RolloutController {
        instance,
        store,
        socket,
        open_decisions: BTreeMap::new(),
        turn: rand::random_range(0..1_000),
        next_write_ms: 0,
        is_writing: Rc::default(),
    };
    loop {
        let pause = controller.poll(now_ms());
        sleep(pause).await;
    }
}

impl RolloutController {
    fn interval_ms(&self) -> u64 {
        let instances = self.instance.instance_count() as u64;
        MIN_INTERVAL_MS.max(INTERVAL_MS_PER_INSTANCE * instances)
    }

    /// Returns the age up to which a report or a directive applies.
    fn valid_ms(&self) -> u64 {
        let defaults = CanarySettings::default();
        defaults
            .directive_valid_ms
            .max(MAX_LOST_REPORTS * self.interval_ms())
    }

    /// Does what is due, and returns the time until the next poll.
    fn poll(&mut self, now_ms: u64) -> Duration {
        self.turn += 1;
        let valid_ms = self.valid_ms();
        let mut software = self.instance.software.borrow_mut();
        software.set_directive_valid_ms(valid_ms);
        drop(software);
        let open = self.instance.software.borrow().open_orders(now_ms);
        let finished = {
            let software = self.instance.software.borrow();
            software.finished_orders(RESULT_TOLD_MS, now_ms)
        };
        self.open_decisions
            .retain(|id, _| open.iter().any(|(order, _)| order.id == *id));
        let mut fleets = self.instance.canary_reports.borrow_mut();
        fleets.retain(|id, _| open.iter().any(|(order, _)| order.id == *id));
        drop(fleets);
        let is_decider = self.instance.freshness(now_ms) == Freshness::Current;
        for (order, elapsed_ms) in &open {
            self.report(order, now_ms);
            if is_decider {
                self.decide(order, *elapsed_ms, now_ms);
            }
        }
        if is_decider {
            for (order, is_stored) in &finished {
                self.settle(order, *is_stored, now_ms);
            }
        }
        if open.is_empty() && finished.is_empty() {
            return IDLE_INTERVAL;
        }
        Duration::from_millis(self.interval_ms())
    }

    /// Tells the deciders what this instance has seen.
    fn report(&self, order: &CanaryOrder, now_ms: u64) {
        let instance = &self.instance;
        let service = &order.id.service;
        let software = instance.software.borrow();
        let report = CanaryReport {
            instance: instance.machine().name.clone(),
            incarnation: instance.incarnation,
            order: order.id.clone(),
            share_permille: software.share_permille(service, now_ms),
            unfinished: instance
                .engines
                .borrow()
                .unfinished_at_others(service, &order.id.to),
            routes: software.route_reports(service),
            losses: software.losses(service),
        };
        drop(software);
        send_canary_to_readers(
            instance,
            &self.socket,
            report.clone().into(),
            REPORT_RECEIVERS,
        );
        instance.receive_canary(report.into(), now_ms);
    }

    /// Takes in the reports on an order, decides, and tells all.
    fn decide(&mut self, order: &CanaryOrder, elapsed_ms: u64, now_ms: u64) {
        let instance = self.instance.clone();
        let settings = *instance.software.borrow().settings();
        let Some(limits) = instance.software.borrow().limits() else {
            return;
        };
        let since_ms = now_ms.saturating_sub(self.valid_ms());
        let (results, all_shifted) = {
            let fleets = instance.canary_reports.borrow();
            let Some(fleet) = fleets.get(&order.id) else {
                return;
            };
            (fleet.sums(), self.have_all_shifted(fleet, since_ms, now_ms))
        };
        let open_decision = self.open_decisions.entry(order.id.clone());
        let open_decision = open_decision.or_insert_with(|| {
            let state = CanaryState::new(settings, limits);
            OpenDecision::begin(state, order, elapsed_ms)
        });
        let Some(duration_ms) = order.duration_ms else {
            return open_decision.log_unusable(order);
        };
        let inputs = CanaryInputs {
            results: &results,
            all_shifted,
            elapsed_ms,
            duration_ms,
        };
        open_decision.step(order, &inputs, now_ms);
        let directive = CanaryDirective {
            only_repeatable: open_decision.state.is_cautious(&inputs),
            share_permille: open_decision.share_permille,
            ..directive(&instance, order, elapsed_ms)
        };
        if let Some(decided) = open_decision.state.decision().copied() {
            return self.announce(order, decided, elapsed_ms, now_ms);
        }
        if !order.is_started {
            self.write_state(order, None, now_ms);
        }
        instance.receive_canary(directive.clone().into(), now_ms);
        send_canary_to_all(&instance, &self.socket, directive.into(), self.turn);
    }

    /// Puts a decision in force here, tells all of it and writes it.
    fn announce(&mut self, order: &CanaryOrder, decided: Decided, elapsed_ms: u64, now_ms: u64) {
        log::warn!(
            "event=rollout_decided order={} outcome={} reason=\"{}\" elapsed_ms={elapsed_ms} \
             duration_ms={:?}",
            order.id,
            decided.outcome,
            decided.reason,
            order.duration_ms,
        );
        let instance = &self.instance;
        instance
            .counters
            .count("rollouts", outcome_label(decided.outcome));
        let mut software = instance.software.borrow_mut();
        software.finish(order, decided.outcome, false, now_ms);
        drop(software);
        instance.assign_software_roles(now_ms);
        let order = CanaryOrder {
            outcome: Some(decided.outcome),
            ..order.clone()
        };
        self.tell_result(&order, false);
        self.write_state(&order, order.outcome, now_ms);
    }

    /// Tells all of a result, and writes it if the store doesn't have it.
    fn settle(&mut self, order: &CanaryOrder, is_stored: bool, now_ms: u64) {
        if !is_stored {
            self.write_state(order, order.outcome, now_ms);
        }
        if !is_stored || self.turn.is_multiple_of(TURNS_PER_RESULT) {
            self.tell_result(order, is_stored);
        }
    }

    fn tell_result(&self, order: &CanaryOrder, is_stored: bool) {
        let is_completed = order.outcome == Some(Outcome::Completed);
        let directive = CanaryDirective {
            share_permille: if is_completed { 1_000 } else { 0 },
            outcome: order.outcome,
            is_stored,
            ..directive(&self.instance, order, 0)
        };
        send_canary_to_all(&self.instance, &self.socket, directive.into(), self.turn);
    }

    /// Returns whether this instance and all live peers send everything to the new
    /// version, and have nothing left at the others.
    fn have_all_shifted(&self, fleet: &FleetReports, since_ms: u64, now_ms: u64) -> bool {
        let instance = &self.instance;
        let members = instance.members.borrow();
        let live = members.live(&instance.settings.mesh, now_ms);
        let live = live.map(|member| {
            let heartbeat = &member.last_heartbeat;
            (heartbeat.name.as_str(), heartbeat.incarnation)
        });
        let machine = instance.machine();
        let own = (machine.name.as_str(), instance.incarnation);
        fleet.have_shifted(live.chain([own]), since_ms)
    }

    /// Writes the state of an order under the revision that was read. That it has begun is
    /// written by the first decider by name, and by the next one only where it fails to;
    /// a result by whoever has it, as the deadline is near.
    fn write_state(&mut self, order: &CanaryOrder, outcome: Option<Outcome>, now_ms: u64) {
        let readers_before = self.instance.readers_before(now_ms) as u64;
        if order.name.is_empty() || self.is_writing.get() || now_ms < self.next_write_ms {
            return;
        }
        if outcome.is_none() && self.next_write_ms == 0 && readers_before > 0 {
            self.next_write_ms = now_ms + readers_before * WRITE_INTERVAL_MS;
            return;
        }
        self.next_write_ms = now_ms + WRITE_INTERVAL_MS;
        self.is_writing.set(true);
        let (instance, store) = (self.instance.clone(), self.store.clone());
        let (order, is_writing) = (order.clone(), self.is_writing.clone());
        spawn_local(async move {
            write(&instance, &store, &order, outcome).await;
            is_writing.set(false);
        });
    }
}

/// Returns the directive of this instance on an order, with nothing to be sent to the new
/// version.
fn directive(instance: &Instance, order: &CanaryOrder, elapsed_ms: u64) -> CanaryDirective {
    let saturated = |ms: u64| u32::try_from(ms).unwrap_or(u32::MAX);
    CanaryDirective {
        decider: instance.machine().name.clone(),
        order: order.id.clone(),
        revision: order.revision,
        age_ms: saturated(elapsed_ms),
        duration_ms: order.duration_ms.map_or(0, saturated),
        share_permille: 0,
        only_repeatable: false,
        outcome: None,
        is_stored: false,
    }
}

async fn write(
    instance: &Instance,
    store: &CallClient,
    order: &CanaryOrder,
    outcome: Option<Outcome>,
) {
    let call = encode_rollout_state(order, outcome);
    let within_ms = instance.settings.store_call_timeout_ms;
    let answer = store.call(&call, within_ms).await;
    let (status, body) = match answer {
        Ok((status @ (200 | 409), body)) => (status, body),
        Ok((status, _)) => {
            log::warn!(
                "event=rollout_not_written order={} status={status}",
                order.id
            );
            return;
        }
        Err(error) => {
            log::warn!(
                "event=rollout_not_written order={} error=\"{error}\"",
                order.id
            );
            return;
        }
    };
    // A refused write shows what the store has: a write whose answer was lost, or that
    // of another decider.
    let stored = decode_object(&body).ok();
    let Some(stored) = stored.and_then(|object| decode_rollout(&object).ok()) else {
        log::warn!("event=rollout_unreadable order={}", order.id);
        return;
    };
    log::info!(
        "event=rollout_written order={} status={status} revision={} started={} outcome={:?}",
        order.id,
        stored.revision,
        stored.is_started,
        stored.outcome,
    );
    instance.update_rollout(&stored, now_ms());
}

fn outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Completed => "completed",
        Outcome::RolledBack => "rolled_back",
    }
}
