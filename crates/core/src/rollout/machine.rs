use {
    super::{Action, EngineSnapshot, Failure, Plan, RolloutSettings, memory::Memory},
    crate::engine::OrderReply,
    std::collections::BTreeMap,
};

/// One model's rollout, as the holder of its lease runs it.
#[derive(Debug, Clone)]
pub struct Rollout {
    settings: RolloutSettings,
    plan: Plan,
    since_ms: u64,
    out: BTreeMap<String, Memory>,
}

impl Rollout {
    /// Takes a rollout up at the plan that the platform holds.
    pub fn resume(settings: RolloutSettings, plan: Plan, now_ms: u64) -> Rollout {
        Rollout {
            settings,
            plan,
            since_ms: now_ms,
            out: BTreeMap::new(),
        }
    }

    /// Returns the plan, to be kept on the platform when it changes.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Takes the record in force.
    pub fn set_target(
        &mut self,
        target: &str,
        concurrent_loads: usize,
        engines: &[EngineSnapshot<'_>],
    ) {
        self.settings.concurrent_loads = concurrent_loads;
        self.plan.set_target(target, engines);
    }

    /// Returns what to do now.
    pub fn decide<'a>(&mut self, engines: &[EngineSnapshot<'a>], now_ms: u64) -> Vec<Action<'a>> {
        self.out
            .retain(|name, _| engines.iter().any(|e| e.name == name && e.drained));
        let mut loading = engines
            .iter()
            .filter(|e| self.is_loading(e, now_ms))
            .count();
        let mut actions = Vec::new();
        for engine in engines.iter().filter(|e| e.drained) {
            let action = self.advance(engine, loading, now_ms);
            loading += usize::from(matches!(action, Some(Action::Order { .. })));
            actions.extend(action);
        }
        actions.extend(self.take_out(engines));
        self.note_done(engines);
        actions
    }

    /// Notes the reply to an order, none if it was lost. A lost one may have
    /// been followed; the engine's state will tell.
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
        let memory = self.memory(engine, now_ms);
        let again = memory.ordered.as_ref().is_some_and(|(v, _)| v == version);
        memory.orders = if again { memory.orders + 1 } else { 1 };
        memory.ordered = Some((version.to_owned(), now_ms));
    }

    /// Notes how a probe ended.
    pub fn record_probe(
        &mut self,
        engine: &str,
        incarnation: u64,
        version: &str,
        ok: bool,
        now_ms: u64,
    ) {
        let most = self.settings.most_probes;
        let memory = self.memory(engine, now_ms);
        if ok {
            memory.failed_probes = 0;
            memory.probed = Some((incarnation, version.to_owned()));
            return;
        }
        memory.failed_probes += 1;
        if memory.failed_probes >= most {
            memory.failed_probes = 0;
            self.fail(
                engine,
                format!("Version {version} gave no answer to a probe; write a version that does."),
            );
        }
    }

    fn memory(&mut self, engine: &str, now_ms: u64) -> &mut Memory {
        self.out
            .entry(engine.to_owned())
            .or_insert_with(|| Memory::new(now_ms))
    }

    /// Stops the rollout. A fault on the way back changes nothing: the reason
    /// that counts is the first.
    fn fail(&mut self, engine: &str, reason: String) {
        if self.plan.failure.is_none() {
            self.plan.failure = Some(Failure {
                engine: engine.to_owned(),
                reason,
            });
        }
    }

    fn is_loading(&self, engine: &EngineSnapshot<'_>, now_ms: u64) -> bool {
        let wanted = self.plan.wanted();
        let awaits = self
            .out
            .get(engine.name)
            .is_some_and(|memory| memory.awaits(wanted, self.settings.order_retry_ms, now_ms));
        engine.loading || (awaits && engine.version != Some(wanted))
    }

    /// Returns the next step of an engine that is out.
    fn advance<'a>(
        &mut self,
        engine: &EngineSnapshot<'a>,
        loading: usize,
        now_ms: u64,
    ) -> Option<Action<'a>> {
        let wanted = self.plan.wanted().to_owned();
        let lost_ms = self.settings.lost_ms;
        let memory = self.memory(engine.name, now_ms);
        let Some(version) = engine.version else {
            let silent_ms = now_ms.saturating_sub(memory.answered_ms);
            return (silent_ms >= lost_ms).then_some(Action::Undrain {
                engine: engine.name,
            });
        };
        memory.answered_ms = now_ms;
        if engine.departing {
            return Some(Action::Undrain {
                engine: engine.name,
            });
        }
        if engine.loading {
            self.check_load(engine.name, now_ms);
            return None;
        }
        if version == wanted {
            return Some(self.finish(engine, wanted));
        }
        self.order(engine, wanted, loading, now_ms)
    }

    fn check_load(&mut self, engine: &str, now_ms: u64) {
        let limit_ms = self.settings.load_timeout_ms;
        let ordered = self.out.get(engine).and_then(|m| m.ordered.clone());
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

    /// Puts an engine back that answered with the version it shall serve. An
    /// answer of the engine before its last restart does not count.
    fn finish<'a>(&self, engine: &EngineSnapshot<'a>, wanted: String) -> Action<'a> {
        let probed = self.out.get(engine.name).and_then(|m| m.probed.as_ref());
        if probed == Some(&(engine.incarnation, wanted.clone())) {
            return Action::Undrain {
                engine: engine.name,
            };
        }
        Action::Probe {
            engine: engine.name,
            version: wanted,
        }
    }

    fn order<'a>(
        &mut self,
        engine: &EngineSnapshot<'a>,
        wanted: String,
        loading: usize,
        now_ms: u64,
    ) -> Option<Action<'a>> {
        let settings = self.settings.clone();
        let early = now_ms.saturating_sub(self.since_ms) < settings.unfenced_wait_ms;
        let memory = self.memory(engine.name, now_ms);
        let drained_ms = now_ms.saturating_sub(memory.drained_ms);
        let idle = engine.open_requests == 0 || drained_ms >= settings.drain_timeout_ms;
        let waits = drained_ms < settings.settle_ms
            || !idle
            || memory.awaits(&wanted, settings.order_retry_ms, now_ms)
            || loading >= settings.concurrent_loads
            || (early && !engine.checks_fencing);
        if waits {
            return None;
        }
        let tried = memory.ordered.as_ref().is_some_and(|(v, _)| *v == wanted);
        if tried && memory.orders >= settings.most_orders && self.plan.failure.is_none() {
            self.fail(
                engine.name,
                format!("Version {wanted} was ordered and does not load; look at the engine."),
            );
            return None;
        }
        Some(Action::Order {
            engine: engine.name,
            version: wanted,
        })
    }

    /// Returns the next engine to take out, if capacity allows it.
    fn take_out<'a>(&self, engines: &[EngineSnapshot<'a>]) -> Option<Action<'a>> {
        let out = engines.iter().filter(|e| e.drained).count();
        if self.plan.failure.is_some() || out >= self.settings.concurrent_loads {
            return None;
        }
        let total = engines.iter().filter(|e| !e.departing).count();
        let serving = engines.iter().filter(|e| e.serves()).count();
        let floor = self.floor(total);
        engines
            .iter()
            .filter(|e| !e.drained && !e.departing && !e.loading)
            .filter(|e| e.version.is_some_and(|v| v != self.plan.target))
            .find(|e| serving - usize::from(e.serves()) >= floor)
            .map(|e| Action::Drain { engine: e.name })
    }

    /// Returns how many of this many engines must go on serving. It is one at
    /// least: the last engine of a model is never taken out.
    fn floor(&self, total: usize) -> usize {
        let most_out = (total * self.settings.most_out_percent / 100).max(1);
        total.saturating_sub(most_out).max(1)
    }

    /// Notes that every engine that answers serves the target. One that is
    /// dead gets it when it comes back.
    fn note_done(&mut self, engines: &[EngineSnapshot<'_>]) {
        let target = self.plan.target.as_str();
        let mut answering = engines
            .iter()
            .filter(|e| !e.departing && e.version.is_some())
            .peekable();
        let any = answering.peek().is_some();
        if any && answering.all(|e| !e.drained && e.version == Some(target)) {
            self.plan.done = true;
            self.plan.good.clone_from(&self.plan.target);
        }
    }
}
