use {
    super::Instance,
    mangowalk_core::{
        engine_limit::{EngineLimitReport, LimitChange, Position},
        pool::{EngineEntry, Incarnation, KnownEngine, rendezvous, short_hash},
    },
};

impl Instance {
    /// Records what an engine's answer to a request sent at `sent_ms` says of the limit on
    /// its requests, and tells peers of a change.
    pub fn record_engine_limit(
        &self,
        engine: &Incarnation,
        per_s: Option<f64>,
        sent_ms: u64,
        now_ms: u64,
    ) {
        let settings = &self.settings.engine_limits;
        let mut limits = self.engine_limits.borrow_mut();
        let change = limits.record_answer(engine, per_s, sent_ms, now_ms);
        let report = limits.report(engine, settings, now_ms);
        drop(limits);
        if let Some(report) = report {
            self.limit_reports.borrow_mut().push(report);
            self.wake_ups.limits.notify_one();
        }
        if let Some(change) = change {
            self.log_limit_change(engine, change, "engine");
        }
    }

    /// Applies what a peer says of an engine's limit.
    pub fn receive_limit_report(&self, report: &EngineLimitReport, now_ms: u64) {
        let change = self.engine_limits.borrow_mut().apply_report(report, now_ms);
        if let Some(change) = change {
            self.log_limit_change(&report.incarnation(), change, "peer");
        }
    }

    fn log_limit_change(&self, engine: &Incarnation, change: LimitChange, source: &'static str) {
        let kind = match change.per_s {
            Some(_) => "named",
            None => "withdrawn",
        };
        self.counters.count("engine_limit", kind);
        log::info!(
            "event=engine_limit engine={} {change} source={source}",
            engine.id
        );
    }

    /// Returns whether a request may be sent to an engine within the limit that it has
    /// named, if any.
    pub fn is_within_limit(&self, engine: &KnownEngine, now_ms: u64) -> bool {
        let incarnation = &engine.entry.incarnation;
        let settings = &self.settings.engine_limits;
        let locate = || self.position_at(&engine.entry, now_ms);
        self.engine_limits
            .borrow_mut()
            .admits(incarnation, settings, locate, now_ms)
    }

    /// Returns the position of this instance in an order of all known ones that depends on
    /// the engine only; `None` while it doesn't know the others.
    ///
    /// Those in the engine's failure domain come first: others prefer engines of their own
    /// domains, so a limit would stay unused, and its end unheard of. Silent peers count:
    /// they may be sending behind a network partition.
    fn position_at(&self, engine: &EngineEntry, now_ms: u64) -> Option<Position> {
        let machine = self.machine();
        let members = self.members.borrow();
        let sharers = self.retry_budgets.sharers.borrow();
        let peers = members.expected_besides(machine.peer_address);
        let is_new = now_ms < self.started_ms + self.settings.engine_limits.learning_ms;
        if is_new || sharers.knows_nobody(peers) {
            return None;
        }
        let hash = u64::from(short_hash(&engine.incarnation.id));
        let order = |domain: &str, name: &str| (domain == engine.domain, rendezvous(hash, name));
        let own = order(&machine.domain, &machine.name);
        let heartbeats = members.iter().map(|member| &member.last_heartbeat);
        let before = heartbeats.filter(|peer| order(&peer.domain, &peer.name) > own);
        Some(Position {
            rank: before.count(),
            instances: members.iter().count() + 1,
        })
    }
}
