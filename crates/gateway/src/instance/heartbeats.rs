use {
    super::Instance,
    mangowalk_core::{
        mesh::{Heartbeat, OrderPhase, OrderReport, PACKS_VERSION},
        pool::WorkPause,
        share::{PeerReport, PeerSpending},
        weights::PublishedAt,
    },
    std::rc::Rc,
};

/// Longest pause of new requests to an engine, counted from the start of the phase
/// (planned or sent) of its order to load weights. It is longer than an engine needs
/// to finish its running requests and to load. If the lease holder dies, the engine
/// is used again after it.
const MAX_ORDER_PAUSE_MS: u64 = 5_000;

/// Time for which a peer's report that an engine is silent applies: three
/// heartbeats.
const SILENCE_REPORT_MS: u64 = 600;

impl Instance {
    /// Applies a peer's heartbeat, unless it is older than one already received.
    /// `exchange_version` is what the peer understands.
    pub fn receive_heartbeat(&self, heartbeat: Heartbeat, exchange_version: u8, now_ms: u64) {
        let heartbeat = Rc::new(heartbeat);
        if heartbeat.name == self.machine().name {
            return;
        }
        let known_incarnation = self.members.borrow().incarnation(&heartbeat.name);
        {
            let mut members = self.members.borrow_mut();
            if !members.receive(heartbeat.clone(), now_ms) {
                return;
            }
            members.set_exchange_version(&heartbeat.name, exchange_version);
        }
        let mut sharers = self.retry_budgets.sharers.borrow_mut();
        sharers.record_heard(&heartbeat.name);
        drop(sharers);
        if heartbeat.stopped {
            log::info!("event=peer_stopped peer={}", heartbeat.name);
            self.engines.borrow_mut().remove_peer(&heartbeat.name);
            return self.update_share_peers(now_ms);
        }
        // The start of a large fleet would be a million lines.
        let members = self.members.borrow();
        if known_incarnation.is_none() && members.answers_new_peers(&self.settings.mesh) {
            log::info!("event=peer_found peer={}", heartbeat.name);
            self.wake_ups.heartbeat.notify_one();
        }
        drop(members);
        self.apply_engine_reports(&heartbeat, now_ms);
        self.apply_versions(&heartbeat);
        let report = peer_report(&heartbeat, exchange_version);
        let mut shares = self.shares.borrow_mut();
        shares.receive_report(&heartbeat.name, report, now_ms);
        let mut crashes = self.crashes.borrow_mut();
        crashes.merge(&heartbeat.crashes, now_ms);
    }

    /// Forgets a peer that has been silent for long. It may still be serving behind a
    /// network partition, so its part of the retries remains reserved.
    pub fn forget_peer(&self, peer: &str, now_ms: u64) {
        log::info!("event=peer_gone peer={peer}");
        let mut sharers = self.retry_budgets.sharers.borrow_mut();
        sharers.record_lost(peer, now_ms);
        self.engines.borrow_mut().remove_peer(peer);
        self.peer_paths.borrow_mut().retain(|name| name != peer);
        self.passed_on.retain(|name| name != peer);
        self.confirmations.borrow_mut().forget_author(peer);
    }

    fn apply_engine_reports(&self, heartbeat: &Heartbeat, now_ms: u64) {
        for &(part, _) in &heartbeat.placements {
            // The peer's engine was asked to save the part to a KV cache store, so
            // no engine needs to be asked here.
            self.kv_stores.borrow_mut().claim_save(part, now_ms);
        }
        let mut engines = self.engines.borrow_mut();
        engines.set_peer_load(&heartbeat.name, &heartbeat.loads);
        engines.record_peer_parts(&heartbeat.placements, now_ms);
        let (peer, departures) = (&heartbeat.name, &heartbeat.departures);
        for engine in engines.merge_departures(peer, departures, now_ms) {
            log::info!("event=engine_leaves engine={engine} peer={peer}");
        }
        for engine in &heartbeat.silent_engines {
            if let Some(known_engine) = engines.get_mut(engine) {
                known_engine.report_silent(SILENCE_REPORT_MS, now_ms);
            }
        }
        drop(engines);
        for order in &heartbeat.orders {
            self.apply_order_report(order, now_ms);
        }
        self.waiting.wake(now_ms);
    }

    fn apply_versions(&self, heartbeat: &Heartbeat) {
        if heartbeat.configuration_version > self.routes.borrow().version() {
            self.wake_ups.configuration.notify_one();
        }
        for (model, version, age_ms) in &heartbeat.versions {
            let at = age_ms.map_or(PublishedAt::Unknown, |ms| PublishedAt::Ago(u64::from(ms)));
            self.record_published_weights(model, *version, at, "peer");
        }
    }

    /// Applies a report of the lease holder on an order to an engine: pauses new
    /// requests to the engine while its weights change, and records its new version
    /// when the order is done.
    pub fn apply_order_report(&self, order: &OrderReport, now_ms: u64) {
        let mut engines = self.engines.borrow_mut();
        let Some(known_engine) = engines.get_mut(&order.engine) else {
            return;
        };
        match order.phase {
            OrderPhase::Planned | OrderPhase::Sent => {
                let age_ms = u64::from(order.age_ms);
                if known_engine.version(&order.model) < order.version && age_ms < MAX_ORDER_PAUSE_MS
                {
                    known_engine.pause = Some(WorkPause {
                        version: order.version,
                        until_ms: now_ms + MAX_ORDER_PAUSE_MS - age_ms,
                    });
                }
            }
            OrderPhase::Done => {
                if known_engine.version(&order.model) < order.version {
                    known_engine.set_version(&order.model, order.version);
                }
                known_engine.pause = None;
            }
        }
    }
}

fn peer_report(heartbeat: &Heartbeat, exchange_version: u8) -> PeerReport {
    let teams = heartbeat.teams.iter().map(|report| {
        let spending = PeerSpending {
            spent: report.spent,
            level: f64::from(report.level),
            demand_per_s: f64::from(report.demand_per_s),
        };
        (report.team.clone(), spending)
    });
    PeerReport {
        incarnation: heartbeat.incarnation,
        up_ms: u64::from(heartbeat.up_ms),
        instances: heartbeat.instances as usize,
        count_valid_ms: u64::from(heartbeat.counted_for_ms),
        knows_spending: heartbeat.knows_rates,
        is_partial: exchange_version >= PACKS_VERSION,
        teams: teams.collect(),
    }
}
