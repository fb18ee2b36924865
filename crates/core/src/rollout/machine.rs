use {
    super::{
        Action, EngineSnapshot, Failure, Plan, RolloutSettings, drained_engine::DrainedEngine,
    },
    crate::engine::OrderReply,
    std::collections::BTreeMap,
};

/// Rollout of one model, run by the holder of its lease.
#[derive(Debug, Clone)]
pub struct Rollout {
    settings: RolloutSettings,
    plan: Plan,
    resumed_ms: u64,
    drained_engines: BTreeMap<String, DrainedEngine>,
}

impl Rollout {
    /// Continues a rollout from the plan stored on the platform.
    pub fn resume(settings: RolloutSettings, plan: Plan, now_ms: u64) -> Rollout {
        Rollout {
            settings,
            plan,
            resumed_ms: now_ms,
            drained_engines: BTreeMap::new(),
        }
    }

    /// Returns the plan, which the caller stores on the platform when it changes.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Applies the model's current record: its version and limit of concurrent
    /// loads.
    pub fn set_target(
        &mut self,
        target: &str,
        concurrent_loads: usize,
        engines: &[EngineSnapshot<'_>],
    ) {
        self.settings.concurrent_loads = concurrent_loads;
        self.plan.set_target(target, engines);
    }

    /// Updates the plan from the state of the engines, and returns the actions that
    /// are due.
    pub fn decide<'a>(&mut self, engines: &[EngineSnapshot<'a>], now_ms: u64) -> Vec<Action<'a>> {
        self.drained_engines
            .retain(|name, _| engines.iter().any(|e| e.name == name && e.drained));
        let mut loading = engines
            .iter()
            .filter(|e| self.is_loading(e, now_ms))
            .count();
        let mut actions = Vec::new();
        for engine in engines.iter().filter(|e| e.drained) {
            let action = self.next_action(engine, loading, now_ms);
            loading += usize::from(matches!(action, Some(Action::Order { .. })));
            actions.extend(action);
        }
        actions.extend(self.next_drain(engines));
        self.update_done(engines);
        actions
    }

    /// Records the reply to an order; `None` if it was lost. The engine may have
    /// accepted such an order, which its state will show.
    pub fn record_order_reply(
        &mut self,
        engine: &str,
        version: &str,
        reply: Option<&OrderReply>,
        now_ms: u64,
    ) {
        if let Some(OrderReply::Refused { reason }) = reply {
            return self.fail(
                engine,
                format!("Version {version} was refused: {reason}; write a version that loads."),
            );
        }
        let state = self.drained_engine(engine, now_ms);
        let again = state.last_order.as_ref().is_some_and(|(v, _)| v == version);
        state.order_count = if again { state.order_count + 1 } else { 1 };
        state.last_order = Some((version.to_owned(), now_ms));
    }

    /// Records the result of a probe.
    pub fn record_probe(
        &mut self,
        engine: &str,
        incarnation: u64,
        version: &str,
        ok: bool,
        now_ms: u64,
    ) {
        let max_failed_probes = self.settings.max_failed_probes;
        let state = self.drained_engine(engine, now_ms);
        if ok {
            state.failed_probes = 0;
            state.successful_probe = Some((incarnation, version.to_owned()));
            return;
        }
        state.failed_probes += 1;
        if state.failed_probes >= max_failed_probes {
            state.failed_probes = 0;
            self.fail(
                engine,
                format!("Version {version} gave no answer to a probe; write a version that does."),
            );
        }
    }

    fn drained_engine(&mut self, engine: &str, now_ms: u64) -> &mut DrainedEngine {
        self.drained_engines
            .entry(engine.to_owned())
            .or_insert_with(|| DrainedEngine::new(now_ms))
    }

    /// Stops the rollout. A later failure, on the way back to the fallback, does
    /// not replace the first one.
    fn fail(&mut self, engine: &str, reason: String) {
        if self.plan.failure.is_none() {
            self.plan.failure = Some(Failure {
                engine: engine.to_owned(),
                reason,
            });
        }
    }

    fn is_loading(&self, engine: &EngineSnapshot<'_>, now_ms: u64) -> bool {
        let desired_version = self.plan.desired_version();
        let has_recent_order = self.drained_engines.get(engine.name).is_some_and(|state| {
            state.has_recent_order(desired_version, self.settings.order_retry_ms, now_ms)
        });
        engine.loading || (has_recent_order && engine.version != Some(desired_version))
    }

    /// Returns the next action for a drained engine.
    fn next_action<'a>(
        &mut self,
        engine: &EngineSnapshot<'a>,
        loading: usize,
        now_ms: u64,
    ) -> Option<Action<'a>> {
        let desired_version = self.plan.desired_version().to_owned();
        let unresponsive_timeout_ms = self.settings.unresponsive_timeout_ms;
        let state = self.drained_engine(engine.name, now_ms);
        let Some(version) = engine.version else {
            let silent_ms = now_ms.saturating_sub(state.last_answer_ms);
            return (silent_ms >= unresponsive_timeout_ms).then_some(Action::Undrain {
                engine: engine.name,
            });
        };
        state.last_answer_ms = now_ms;
        if engine.departing {
            return Some(Action::Undrain {
                engine: engine.name,
            });
        }
        if engine.loading {
            self.check_load_timeout(engine.name, now_ms);
            return None;
        }
        if version == desired_version {
            return Some(self.probe_or_undrain(engine, desired_version));
        }
        self.order_if_ready(engine, desired_version, loading, now_ms)
    }

    fn check_load_timeout(&mut self, engine: &str, now_ms: u64) {
        let limit_ms = self.settings.load_timeout_ms;
        let ordered = self
            .drained_engines
            .get(engine)
            .and_then(|m| m.last_order.clone());
        let Some((version, at_ms)) = ordered else {
            return;
        };
        if now_ms.saturating_sub(at_ms) >= limit_ms {
            self.fail(
                engine,
                format!("Version {version} loads for over {limit_ms} ms; look at the engine."),
            );
        }
    }

    /// Undrains an engine that has answered a probe with the desired version, or
    /// else probes it. Probes before the engine's last restart do not count.
    fn probe_or_undrain<'a>(
        &self,
        engine: &EngineSnapshot<'a>,
        desired_version: String,
    ) -> Action<'a> {
        let probed = self
            .drained_engines
            .get(engine.name)
            .and_then(|m| m.successful_probe.as_ref());
        if probed == Some(&(engine.incarnation, desired_version.clone())) {
            return Action::Undrain {
                engine: engine.name,
            };
        }
        Action::Probe {
            engine: engine.name,
            version: desired_version,
        }
    }

    fn order_if_ready<'a>(
        &mut self,
        engine: &EngineSnapshot<'a>,
        desired_version: String,
        loading: usize,
        now_ms: u64,
    ) -> Option<Action<'a>> {
        let settings = self.settings.clone();
        let in_unfenced_wait = now_ms.saturating_sub(self.resumed_ms) < settings.unfenced_wait_ms;
        let state = self.drained_engine(engine.name, now_ms);
        let drained_ms = now_ms.saturating_sub(state.drained_since_ms);
        let may_order = engine.open_requests == 0 || drained_ms >= settings.drain_timeout_ms;
        let must_wait = drained_ms < settings.drain_propagation_ms
            || !may_order
            || state.has_recent_order(&desired_version, settings.order_retry_ms, now_ms)
            || loading >= settings.concurrent_loads
            || (in_unfenced_wait && !engine.checks_fencing);
        if must_wait {
            return None;
        }
        let was_ordered = state
            .last_order
            .as_ref()
            .is_some_and(|(v, _)| *v == desired_version);
        if was_ordered && state.order_count >= settings.max_orders && self.plan.failure.is_none() {
            self.fail(
                engine.name,
                format!(
                    "Version {desired_version} was ordered and does not load; look at the engine."
                ),
            );
            return None;
        }
        Some(Action::Order {
            engine: engine.name,
            version: desired_version,
        })
    }

    /// Drains the next engine if the remaining capacity allows it.
    fn next_drain<'a>(&self, engines: &[EngineSnapshot<'a>]) -> Option<Action<'a>> {
        let drained = engines.iter().filter(|e| e.drained).count();
        if self.plan.failure.is_some() || drained >= self.settings.concurrent_loads {
            return None;
        }
        let total = engines.iter().filter(|e| !e.departing).count();
        let serving = engines.iter().filter(|e| e.serves()).count();
        let min_serving = self.min_serving(total);
        engines
            .iter()
            .filter(|e| !e.drained && !e.departing && !e.loading)
            .filter(|e| e.version.is_some_and(|v| v != self.plan.target))
            .find(|e| serving - usize::from(e.serves()) >= min_serving)
            .map(|e| Action::Drain { engine: e.name })
    }

    /// Returns how many of `total` engines must keep serving. At least one: the
    /// last engine of a model is never drained.
    fn min_serving(&self, total: usize) -> usize {
        let max_drained = (total * self.settings.max_drained_percent / 100).max(1);
        total.saturating_sub(max_drained).max(1)
    }

    /// Marks the rollout as done when all responsive engines serve the target. A
    /// dead engine is updated after it returns.
    fn update_done(&mut self, engines: &[EngineSnapshot<'_>]) {
        let target = self.plan.target.as_str();
        let mut answering = engines
            .iter()
            .filter(|e| !e.departing && e.version.is_some())
            .peekable();
        let any = answering.peek().is_some();
        if any && answering.all(|e| !e.drained && e.version == Some(target)) {
            self.plan.done = true;
            self.plan.fallback.clone_from(&self.plan.target);
        }
    }
}
