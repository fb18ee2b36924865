use {
    super::orders::{ask, send},
    crate::{clock::now_ms, instance::Instance, store::StoreClient},
    futures_util::future::join_all,
    mangowalk_core::{
        mesh::{OrderNote, OrderPhase},
        pool::{EngineEntry, Incarnation},
        weights::{Held, Lease, Seen, Step, Turn, Vacant, plan},
    },
    mangowalk_platform::{
        Call, EngineReport, Kind, LeaseRecord, OrderAnswer, Stored, WeightsOrder, decode_object,
        encode_create, encode_replace, path_of_object,
    },
    std::{collections::HashMap, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Name of the record that says who orders.
const RECORD: &str = "orders";

/// Pause between two looks while engines lack the newest weights.
const LOOK: Duration = Duration::from_millis(40);

/// Longest pause between two looks while nothing is to be done.
const REST: Duration = Duration::from_millis(1_000);

/// Time for which instance after instance, in the order of their names, waits
/// for the one before to begin with orders.
const TURN_MS: u64 = 900;

/// Time from an order to the first question whether it is done: an engine
/// finishes what runs, then loads.
const FIRST_ASK_MS: u64 = 330;

/// Pause between two such questions; each is paid for.
const NEXT_ASK_MS: u64 = 70;

/// Time after which an order without a known end is given again.
const AGAIN_MS: u64 = 4_000;

/// Time after which a report tells of an order; reports lie some hundred
/// milliseconds behind.
const REPORT_LAG_MS: u64 = 500;

/// Time for which an instance that could not renew the lease leaves it to
/// others.
const UNABLE_MS: u64 = 3_000;

/// Time for which it is told that an engine's order is done.
const TELL_DONE_MS: u64 = 1_500;

/// What this instance knows of one engine's order.
#[derive(Debug, Clone)]
struct Given {
    model: String,
    version: u64,
    phase: OrderPhase,
    since_ms: u64,
    asked_ms: u64,
}

enum Right {
    Vacant(Lease<Vacant>),
    Held(Lease<Held>),
}

struct Orderer {
    instance: Rc<Instance>,
    store: Rc<StoreClient>,
    right: Right,
    seen: Option<Seen>,
    given: HashMap<Incarnation, Given>,
    /// Orders that each engine has accepted, as far as known.
    accepted: HashMap<Incarnation, u64>,
    lagging_since_ms: Option<u64>,
    /// Until then this instance leaves the lease to others.
    unable_until_ms: u64,
}

/// Gives orders to engines whenever some lack the newest weights.
pub async fn order_weights(instance: Rc<Instance>, store: Rc<StoreClient>) {
    let mut orderer = Orderer {
        right: Right::Vacant(Lease::new(instance.settings.lease)),
        instance: instance.clone(),
        store,
        seen: None,
        given: HashMap::new(),
        accepted: HashMap::new(),
        lagging_since_ms: None,
        unable_until_ms: 0,
    };
    loop {
        let lagging = orderer.lagging();
        if lagging.is_empty() {
            orderer.lagging_since_ms = None;
            orderer.tell();
            tokio::select! {
                () = sleep(REST) => {}
                () = instance.notes.orders.notified() => {}
            }
            continue;
        }
        let since_ms = *orderer.lagging_since_ms.get_or_insert(now_ms());
        if orderer.has_right(since_ms).await {
            orderer.work(&lagging).await;
        }
        orderer.tell();
        sleep(LOOK).await;
    }
}

/// An engine, the model it lacks newest weights of, and their version.
type Lagging = (EngineEntry, String, u64);

impl Orderer {
    fn lagging(&self) -> Vec<Lagging> {
        let newest = self.instance.newest.borrow();
        let engines = self.instance.engines.borrow();
        let mut lagging = Vec::new();
        for belief in engines.iter().filter(|belief| !belief.entry.draining) {
            for model in &belief.entry.models {
                let version = newest.get(&model.model).copied().unwrap_or(0);
                if belief.version(&model.model) < version {
                    lagging.push((belief.entry.clone(), model.model.clone(), version));
                }
            }
        }
        lagging
    }

    /// Returns whether it is this instance's turn to take the lease: the
    /// first ready one by name takes it at once, each further one only if
    /// those before it did not begin.
    fn is_turn(&self, since_ms: u64) -> bool {
        let members = self.instance.members.borrow();
        let now_ms = now_ms();
        let before = members
            .heard(&self.instance.settings.mesh, now_ms)
            .filter(|member| member.last.ready && member.last.name < self.instance.machine.name)
            .count() as u64;
        let busy = members
            .heard(&self.instance.settings.mesh, now_ms)
            .any(|member| !member.last.orders.is_empty());
        now_ms >= self.unable_until_ms && !busy && now_ms >= since_ms + before * TURN_MS && self.instance.is_ready()
    }

    /// Holds the lease, or tries to.
    async fn has_right(&mut self, since_ms: u64) -> bool {
        if matches!(self.right, Right::Vacant(_)) {
            if !self.is_turn(since_ms) {
                return false;
            }
            self.take().await;
        }
        let Right::Held(lease) = &self.right else {
            return false;
        };
        !lease.is_waiting(now_ms())
    }

    async fn take(&mut self) {
        let within_ms = self.instance.settings.store_ms;
        let call = Call::get(path_of_object(Kind::Leases, RECORD));
        let (before, write) = match self.store.call(&call, within_ms).await {
            Ok((404, _)) => (None, encode_create(Kind::Leases, RECORD, &self.record(1, 1))),
            Ok((200, body)) => {
                let Ok(stored) = decode_object(&body) else {
                    log::warn!("event=lease_unreadable record={RECORD}");
                    return;
                };
                (Some(self.see(&stored)), self.replacement(&stored))
            }
            _ => return,
        };
        let sent_ms = now_ms();
        let Ok((200 | 201, body)) = self.store.call(&write, within_ms).await else {
            return;
        };
        let Some((stored, record)) = written(&body) else {
            return;
        };
        let before = before.flatten();
        if let Right::Vacant(vacant) = &self.right {
            let held = vacant
                .clone()
                .take(record.fence, stored.revision, before, sent_ms, now_ms());
            self.right = Right::Held(held);
        }
        log::info!(
            "event=lease_taken fence={} revision={} waits={}",
            record.fence,
            stored.revision,
            before.is_some(),
        );
    }

    /// Returns what was seen of another's record, `None` for one's own.
    fn see(&mut self, stored: &Stored) -> Option<Seen> {
        let record: Option<LeaseRecord> = serde_json::from_value(stored.spec.clone()).ok();
        if record.is_some_and(|record| record.holder == self.instance.machine.name) {
            return None;
        }
        let seen = self.seen.filter(|seen| seen.revision == stored.revision);
        let seen = seen.unwrap_or(Seen {
            revision: stored.revision,
            first_ms: now_ms(),
        });
        self.seen = Some(seen);
        Some(seen)
    }

    fn record(&self, fence: u64, renewals: u64) -> LeaseRecord {
        LeaseRecord {
            holder: self.instance.machine.name.clone(),
            fence,
            renewals,
        }
    }

    fn replacement(&self, stored: &Stored) -> Call {
        let before: Option<LeaseRecord> = serde_json::from_value(stored.spec.clone()).ok();
        let (fence, renewals) = before.map_or((1, 1), |record| (record.fence + 1, record.renewals + 1));
        let record = self.record(fence, renewals);
        encode_replace(Kind::Leases, RECORD, stored.revision, &record)
    }

    /// Renews the lease, so that orders may leave for a moment.
    async fn renew(&mut self) -> bool {
        let Right::Held(lease) = &self.right else {
            return false;
        };
        let (fence, revision) = (lease.held().fence, lease.held().revision);
        let record = self.record(fence, revision);
        let call = encode_replace(Kind::Leases, RECORD, revision, &record);
        let sent_ms = now_ms();
        let answer = self.store.call(&call, self.instance.settings.store_ms).await;
        match answer {
            Ok((200, body)) => {
                let Some((stored, _)) = written(&body) else {
                    return false;
                };
                if let Right::Held(lease) = &mut self.right {
                    lease.renewed(stored.revision, sent_ms);
                }
                true
            }
            Ok((409 | 404, body)) => {
                // Either another has taken it, or an earlier renewal took
                // effect and its answer was lost.
                let own = written(&body).is_some_and(|(_, record)| record.fence == fence && record.holder == self.instance.machine.name);
                if own {
                    if let (Some((stored, _)), Right::Held(lease)) = (written(&body), &mut self.right) {
                        lease.adopt(stored.revision);
                    }
                    return false;
                }
                log::warn!("event=lease_lost fence={fence}");
                self.right = Right::Vacant(Lease::new(self.instance.settings.lease));
                self.given.clear();
                false
            }
            _ => {
                log::warn!("event=lease_not_renewed fence={fence}");
                // Another instance may reach the store; it takes its turn
                // once this one no longer tells of orders.
                self.right = Right::Vacant(Lease::new(self.instance.settings.lease));
                self.given.clear();
                self.unable_until_ms = now_ms() + UNABLE_MS;
                false
            }
        }
    }

    async fn work(&mut self, lagging: &[Lagging]) {
        self.ask_ordered().await;
        let mut due = Vec::new();
        for step in self.steps(lagging) {
            match step {
                (Step::Steer(_), one) => self.note(&one, OrderPhase::Planned),
                (Step::Order(_), one) => due.push(one),
            }
        }
        self.instance.notes.heartbeat.notify_one();
        if due.is_empty() {
            return;
        }
        self.learn_accepted(&due).await;
        if !self.renew().await {
            return;
        }
        let orders = due.iter().map(|one| self.order(one));
        let answers = join_all(orders).await;
        for (one, answer) in due.iter().zip(answers) {
            self.answered(one, answer);
        }
    }

    fn steps(&self, lagging: &[Lagging]) -> Vec<(Step, Lagging)> {
        let mut steps = Vec::new();
        let mut models: Vec<&String> = lagging.iter().map(|(_, model, _)| model).collect();
        models.sort();
        models.dedup();
        let engines = self.instance.engines.borrow();
        let settings = &self.instance.settings;
        let now_ms = now_ms();
        for model in models {
            let of_model: Vec<&Lagging> = lagging.iter().filter(|one| one.1 == *model).collect();
            let all = engines
                .iter()
                .filter(|belief| belief.entry.models.iter().any(|m| m.model == *model))
                .count();
            let turns: Vec<Turn> = of_model.iter().map(|one| self.turn(one, now_ms)).collect();
            for step in plan(&turns, all, &settings.plan, now_ms) {
                let (Step::Steer(engine) | Step::Order(engine)) = &step;
                let one = of_model.iter().find(|one| one.0.incarnation.id == *engine);
                if let Some(one) = one {
                    steps.push((step.clone(), (*one).clone()));
                }
            }
        }
        steps
    }

    fn turn(&self, (entry, model, _): &Lagging, now_ms: u64) -> Turn {
        let engines = self.instance.engines.borrow();
        let belief = engines.get(&entry.incarnation.id);
        let health = &self.instance.settings.choice.health;
        let given = self.given.get(&entry.incarnation);
        let ordered = given.filter(|given| given.phase == OrderPhase::Sent);
        let planned = given.filter(|given| given.phase == OrderPhase::Planned);
        Turn {
            engine: entry.incarnation.id.clone(),
            steered_since_ms: planned.map(|given| given.since_ms),
            is_ordered: ordered.is_some_and(|given| now_ms < given.since_ms + AGAIN_MS),
            version: belief.map_or(0, |belief| belief.version(model)),
            requests: belief.map_or(0, |belief| belief.load().requests),
            answers: belief.is_some_and(|belief| !belief.health.is_doubtful(health, now_ms)),
        }
    }

    async fn order(&self, (entry, model, version): &Lagging) -> OrderAnswer {
        let accepted = self.accepted.get(&entry.incarnation).copied();
        let (Some(accepted_before), Right::Held(lease)) = (accepted, &self.right) else {
            return OrderAnswer::Unknown;
        };
        if !lease.may_order(now_ms()) {
            return OrderAnswer::Unknown;
        }
        let order = WeightsOrder {
            engine: &entry.incarnation.id,
            model,
            version: *version,
            holder: &self.instance.machine.name,
            fence: lease.held().fence,
            accepted_before,
        };
        let answer = send(entry, &order).await;
        log::info!(
            "event=ordered engine={} model={model} version={version} fence={} accepted_before={accepted_before} answer={answer:?}",
            entry.incarnation.id,
            lease.held().fence,
        );
        answer
    }

    /// Asks engines whose number of accepted orders isn't known.
    async fn learn_accepted(&mut self, due: &[Lagging]) {
        let unknown: Vec<&EngineEntry> = due
            .iter()
            .map(|(entry, _, _)| entry)
            .filter(|entry| !self.accepted.contains_key(&entry.incarnation))
            .collect();
        let reports = join_all(unknown.iter().map(|entry| ask(entry))).await;
        for (entry, report) in unknown.into_iter().zip(reports) {
            if let Some(report) = report {
                self.accepted
                    .insert(entry.incarnation.clone(), report.orders_accepted);
            }
        }
    }

    fn answered(&mut self, one: &Lagging, answer: OrderAnswer) {
        let incarnation = &one.0.incarnation;
        match answer {
            OrderAnswer::Accepted => {
                if let Some(accepted) = self.accepted.get_mut(incarnation) {
                    *accepted += 1;
                }
                self.note(one, OrderPhase::Sent);
            }
            OrderAnswer::Holds => {
                self.note(one, OrderPhase::Done);
            }
            // Either an earlier order runs, or the number of accepted orders is
            // another one; a report tells.
            OrderAnswer::Conflict => {
                self.accepted.remove(incarnation);
                self.note(one, OrderPhase::Sent);
            }
            OrderAnswer::Unknown | OrderAnswer::Fenced => {
                self.accepted.remove(incarnation);
                self.note(one, OrderPhase::Planned);
            }
            OrderAnswer::OtherEngine | OrderAnswer::Invalid => {
                self.accepted.remove(incarnation);
                self.given.remove(incarnation);
            }
        }
    }

    /// Asks engines whose order should be done whether it is.
    async fn ask_ordered(&mut self) {
        let now = now_ms();
        let asked: Vec<Incarnation> = self
            .given
            .iter()
            .filter(|(_, given)| given.phase == OrderPhase::Sent)
            .filter(|(_, given)| {
                now >= given.since_ms + FIRST_ASK_MS && now >= given.asked_ms + NEXT_ASK_MS
            })
            .map(|(incarnation, _)| incarnation.clone())
            .collect();
        let entries: Vec<EngineEntry> = {
            let engines = self.instance.engines.borrow();
            let listed = asked.iter().filter_map(|one| engines.get(&one.id));
            listed.map(|belief| belief.entry.clone()).collect()
        };
        let reports = join_all(entries.iter().map(ask)).await;
        for (entry, report) in entries.iter().zip(reports) {
            if let Some(given) = self.given.get_mut(&entry.incarnation) {
                given.asked_ms = now;
            }
            if let Some(report) = report {
                self.reported(entry, &report);
            }
        }
    }

    fn reported(&mut self, entry: &EngineEntry, report: &EngineReport) {
        self.accepted
            .insert(entry.incarnation.clone(), report.orders_accepted);
        let Some(given) = self.given.get(&entry.incarnation).cloned() else {
            return;
        };
        let has = report
            .models
            .iter()
            .any(|model| model.model == given.model && model.version >= given.version);
        let one = (entry.clone(), given.model, given.version);
        if has {
            self.note(&one, OrderPhase::Done);
        } else if !report.is_busy && now_ms() >= given.since_ms + REPORT_LAG_MS {
            self.note(&one, OrderPhase::Planned);
        }
    }

    /// Notes how far an engine's order is, here and for the peers.
    fn note(&mut self, (entry, model, version): &Lagging, phase: OrderPhase) {
        let now_ms = now_ms();
        let given = Given {
            model: model.clone(),
            version: *version,
            phase,
            since_ms: now_ms,
            asked_ms: now_ms,
        };
        let note = told(&entry.incarnation, &given, now_ms);
        self.given.insert(entry.incarnation.clone(), given);
        self.instance.note_order(&note, now_ms);
        self.instance.notes.heartbeat.notify_one();
    }

    /// Writes what the peers shall hear.
    fn tell(&mut self) {
        let now_ms = now_ms();
        self.given.retain(|_, given| {
            given.phase != OrderPhase::Done || now_ms < given.since_ms + TELL_DONE_MS
        });
        let holds = matches!(self.right, Right::Held(_));
        let notes = self.given.iter().filter(|_| holds);
        *self.instance.orders.borrow_mut() = notes
            .map(|(incarnation, given)| told(incarnation, given, now_ms))
            .collect();
    }
}

fn told(incarnation: &Incarnation, given: &Given, now_ms: u64) -> OrderNote {
    OrderNote {
        engine: incarnation.id.clone(),
        model: given.model.clone(),
        version: given.version,
        phase: given.phase,
        age_ms: now_ms.saturating_sub(given.since_ms) as u32,
    }
}

fn written(body: &[u8]) -> Option<(Stored, LeaseRecord)> {
    let stored = decode_object(body).ok()?;
    let record = serde_json::from_value(stored.spec.clone()).ok()?;
    Some((stored, record))
}
