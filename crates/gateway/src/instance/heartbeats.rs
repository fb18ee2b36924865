use {
    super::Instance,
    mangowalk_core::{
        mesh::{Heartbeat, OrderPhase, OrderReport},
        pool::WorkPause,
        share::{PeerReport, PeerSpending},
        weights::PublishedAt,
    },
};

/// Longest time for which a note of a change of weights is believed without
/// being heard again. Longer than an engine takes to finish what runs and to
/// load; if the orderer dies, the engine is used again after it.
const STEERING_MS: u64 = 5_000;

/// Time for which a peer's word that an engine is silent is believed: three
/// heartbeats.
const SILENCE_REPORT_MS: u64 = 600;

impl Instance {
    /// Takes over a peer's heartbeat, unless it is older than one that came.
    pub fn hear(&self, heartbeat: Heartbeat, now_ms: u64) {
        if heartbeat.name == self.machine().name {
            return;
        }
        let known = self.members.borrow().incarnation(&heartbeat.name).is_some();
        if !self.members.borrow_mut().receive(heartbeat.clone(), now_ms) {
            return;
        }
        if heartbeat.stopped {
            log::info!("event=peer_stopped peer={}", heartbeat.name);
            self.engines.borrow_mut().remove_peer(&heartbeat.name);
            return self.look_at_peers(now_ms);
        }
        if !known {
            log::info!("event=peer_found peer={}", heartbeat.name);
            self.notes.heartbeat.notify_one();
        }
        self.apply_engine_reports(&heartbeat, now_ms);
        self.apply_versions(&heartbeat);
        let report = report(&heartbeat);
        let mut shares = self.shares.borrow_mut();
        shares.receive_report(&heartbeat.name, report, now_ms);
        let mut crashes = self.crashes.borrow_mut();
        crashes.merge(&heartbeat.crashes, now_ms);
    }

    fn apply_engine_reports(&self, heartbeat: &Heartbeat, now_ms: u64) {
        for &(part, _) in &heartbeat.placements {
            // The peer's engine was asked to send it; so none here needs to be.
            self.kept.borrow_mut().claim_save(part, now_ms);
        }
        let mut engines = self.engines.borrow_mut();
        engines.set_peer_load(&heartbeat.name, &heartbeat.loads);
        engines.record_peer_parts(&heartbeat.placements, now_ms);
        let (peer, departures) = (&heartbeat.name, &heartbeat.departures);
        for engine in engines.merge_departures(peer, departures, now_ms) {
            log::info!("event=engine_leaves engine={engine} peer={peer}");
        }
        for engine in &heartbeat.silent_engines {
            if let Some(belief) = engines.get_mut(engine) {
                belief.report_silent(SILENCE_REPORT_MS, now_ms);
            }
        }
        drop(engines);
        for order in &heartbeat.orders {
            self.apply_order_note(order, now_ms);
        }
    }

    fn apply_versions(&self, heartbeat: &Heartbeat) {
        if heartbeat.configuration_version > self.routes.borrow().version() {
            self.notes.configuration.notify_one();
        }
        for (model, version, age_ms) in &heartbeat.versions {
            let at = age_ms.map_or(PublishedAt::Unknown, |ms| PublishedAt::Ago(u64::from(ms)));
            self.name_weights(model, *version, at, "peer");
        }
    }

    /// Believes what the orderer tells of an engine's weights.
    pub fn apply_order_note(&self, order: &OrderReport, now_ms: u64) {
        let mut engines = self.engines.borrow_mut();
        let Some(belief) = engines.get_mut(&order.engine) else {
            return;
        };
        match order.phase {
            OrderPhase::Planned | OrderPhase::Sent => {
                let age_ms = u64::from(order.age_ms);
                if belief.version(&order.model) < order.version && age_ms < STEERING_MS {
                    belief.pause = Some(WorkPause {
                        version: order.version,
                        until_ms: now_ms + STEERING_MS - age_ms,
                    });
                }
            }
            OrderPhase::Done => {
                if belief.version(&order.model) < order.version {
                    belief.set_version(&order.model, order.version);
                }
                belief.pause = None;
            }
        }
    }
}

fn report(heartbeat: &Heartbeat) -> PeerReport {
    let teams = heartbeat.teams.iter().map(|note| {
        let told = PeerSpending {
            spent: note.spent,
            level: f64::from(note.level),
            demand_per_s: f64::from(note.demand_per_s),
        };
        (note.team.clone(), told)
    });
    PeerReport {
        incarnation: heartbeat.incarnation,
        up_ms: u64::from(heartbeat.up_ms),
        instances: heartbeat.instances as usize,
        count_valid_ms: u64::from(heartbeat.counted_for_ms),
        knows_spending: heartbeat.knows_rates,
        teams: teams.collect(),
    }
}
