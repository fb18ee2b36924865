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

/// Time after which an accepted order without a known end is given again.
const AGAIN_MS: u64 = 4_000;

/// Time from an order to the first question whether it is done: an engine
/// takes a few hundred milliseconds to load.
const FIRST_ASK_MS: u64 = 330;

/// Pause between two such questions; each is paid for.
const NEXT_ASK_MS: u64 = 70;

/// Time after which a report tells of an order; reports lie up to two hundred
/// milliseconds behind.
const REPORT_LAG_MS: u64 = 500;

/// Time for which it is told that an engine's order is done.
const TELL_DONE_MS: u64 = 1_500;

/// An engine, a model whose newest weights it lacks, and their version.
#[derive(Debug, Clone)]
pub(super) struct Lagging {
    pub(super) entry: EngineEntry,
    pub(super) model: String,
    pub(super) version: u64,
}

/// What this instance knows of one engine's order.
#[derive(Debug, Clone)]
struct Given {
    model: String,
    version: u64,
    phase: OrderPhase,
    since_ms: u64,
    asked_ms: u64,
    /// Whether an order or question is on its way.
    is_waited_for: bool,
    /// Most orders that ran at once meanwhile, if the engine had nothing to
    /// finish: such a load shows how long loads take.
    measured: Option<usize>,
}

/// How far the orders of this instance are.
pub(super) struct Progress {
    instance: Rc<Instance>,
    given: HashMap<Incarnation, Given>,
    /// Orders that each engine has accepted, as far as known.
    accepted: HashMap<Incarnation, u64>,
    pace: LoadConcurrency,
}

impl Progress {
    pub(super) fn new(instance: Rc<Instance>) -> Progress {
        Progress {
            instance,
            given: HashMap::new(),
            accepted: HashMap::new(),
            pace: LoadConcurrency::default(),
        }
    }

    /// Forgets everything, after the right to order was lost: another may
    /// have given orders since.
    pub(super) fn forget(&mut self) {
        self.given.clear();
        self.accepted.clear();
    }

    pub(super) fn is_empty(&self) -> bool {
        self.given.is_empty() && self.accepted.is_empty()
    }

    /// Returns how many engines may load at once, of so many.
    pub(super) fn at_once(&self, engines: usize) -> usize {
        let settings = &self.instance.settings;
        let within_ms = settings.weights.dispatch_until_ms as f64 * settings.plan.within_part;
        self.pace.at_once(engines, within_ms as u64)
    }

    /// Returns whether orders run.
    pub(super) fn is_busy(&self) -> bool {
        let mut given = self.given.values();
        given.any(|given| given.phase == OrderPhase::Sent)
    }

    /// Returns the orders that an engine has accepted, if known.
    pub(super) fn accepted(&self, engine: &Incarnation) -> Option<u64> {
        self.accepted.get(engine).copied()
    }

    /// Notes that an order or question is on its way to an engine.
    pub(super) fn wait_for(&mut self, engine: &Incarnation) {
        if let Some(given) = self.given.get_mut(engine) {
            given.is_waited_for = true;
            given.asked_ms = now_ms();
        }
    }

    /// Returns whether an order or question is on its way to an engine.
    pub(super) fn is_waited_for(&self, engine: &Incarnation) -> bool {
        self.given
            .get(engine)
            .is_some_and(|given| given.is_waited_for)
    }

    /// Returns what the plan has to know of an engine.
    pub(super) fn turn(&self, one: &Lagging, now_ms: u64) -> OutdatedEngine {
        let engines = self.instance.engines.borrow();
        let belief = engines.get(&one.entry.incarnation.id);
        let health = &self.instance.settings.choice.health;
        let given = self.given.get(&one.entry.incarnation);
        let ordered = given.filter(|given| given.phase == OrderPhase::Sent);
        let planned = given.filter(|given| given.phase == OrderPhase::Planned);
        OutdatedEngine {
            engine: one.entry.incarnation.id.clone(),
            steered_since_ms: planned.map(|given| given.since_ms),
            is_ordered: ordered.is_some_and(|given| now_ms < given.since_ms + AGAIN_MS),
            version: belief.map_or(0, |belief| belief.version(&one.model)),
            requests: belief.map_or(0, |belief| belief.load().requests),
            must_finish: belief.map_or(0, |belief| belief.load().must_finish),
            answers: belief.is_some_and(|belief| belief.is_responsive(health, now_ms)),
        }
    }

    /// Returns the engines that should be asked whether their order is done.
    pub(super) fn to_ask(&self) -> Vec<EngineEntry> {
        let now_ms = now_ms();
        let engines = self.instance.engines.borrow();
        self.given
            .iter()
            .filter(|(_, given)| given.phase == OrderPhase::Sent && !given.is_waited_for)
            .filter(|(_, given)| {
                now_ms >= given.since_ms + FIRST_ASK_MS && now_ms >= given.asked_ms + NEXT_ASK_MS
            })
            .filter_map(|(one, _)| engines.get(&one.id))
            .map(|belief| belief.entry.clone())
            .collect()
    }

    /// Takes over an engine's answer to an order.
    pub(super) fn answered(&mut self, one: &Lagging, answer: OrderAnswer) {
        let engine = &one.entry.incarnation;
        match answer {
            OrderAnswer::Accepted => {
                if let Some(accepted) = self.accepted.get_mut(engine) {
                    *accepted += 1;
                }
                self.note(one, OrderPhase::Sent);
                self.measure(engine);
            }
            OrderAnswer::Holds => self.note(one, OrderPhase::Done),
            // Either an earlier order runs, or the number of accepted orders
            // is another one; a report tells.
            OrderAnswer::Conflict => {
                self.accepted.remove(engine);
                self.note(one, OrderPhase::Sent);
            }
            OrderAnswer::Unknown | OrderAnswer::Fenced => {
                self.accepted.remove(engine);
                self.note(one, OrderPhase::Planned);
            }
            OrderAnswer::OtherEngine | OrderAnswer::Invalid => {
                self.accepted.remove(engine);
                self.given.remove(engine);
            }
        }
    }

    fn measure(&mut self, engine: &Incarnation) {
        let loading = self
            .given
            .values()
            .filter(|given| given.phase == OrderPhase::Sent)
            .count();
        let engines = self.instance.engines.borrow();
        let is_idle = engines
            .get(&engine.id)
            .is_some_and(|belief| belief.load().requests == 0);
        for (other, given) in &mut self.given {
            if other == engine {
                given.measured = is_idle.then_some(loading);
            } else if let Some(most) = &mut given.measured {
                *most = loading.max(*most);
            }
        }
    }

    /// Takes over an engine's report, or that there is none.
    pub(super) fn reported(&mut self, entry: &EngineEntry, report: Option<&EngineReport>) {
        let engine = &entry.incarnation;
        if let Some(given) = self.given.get_mut(engine) {
            given.is_waited_for = false;
            given.asked_ms = now_ms();
        }
        let Some(report) = report else {
            return;
        };
        self.accepted.insert(engine.clone(), report.orders_accepted);
        let Some(given) = self.given.get(engine).cloned() else {
            return;
        };
        let one = Lagging {
            entry: entry.clone(),
            model: given.model.clone(),
            version: given.version,
        };
        let mut models = report.models.iter();
        let has = models.any(|m| m.model == given.model && m.version >= given.version);
        let age_ms = now_ms().saturating_sub(given.since_ms);
        if has {
            if let (OrderPhase::Sent, Some(loading)) = (given.phase, given.measured) {
                self.pace.loaded(age_ms, loading);
                log::info!(
                    "event=weights_loaded engine={} version={} took_ms={age_ms} loading={loading} tried_at_once={}",
                    engine.id,
                    given.version,
                    self.at_once(0),
                );
            }
            self.note(&one, OrderPhase::Done);
        } else if given.phase == OrderPhase::Sent && !report.is_busy && age_ms >= REPORT_LAG_MS {
            self.note(&one, OrderPhase::Planned);
        }
    }

    /// Notes how far an engine's order is, here and for the peers.
    pub(super) fn note(&mut self, one: &Lagging, phase: OrderPhase) {
        let now_ms = now_ms();
        let before = self.given.get(&one.entry.incarnation);
        log::info!(
            "event=weights_step engine={} version={} phase={phase:?} before_ms={:?}",
            one.entry.incarnation.id,
            one.version,
            before.map(|given| now_ms.saturating_sub(given.since_ms)),
        );
        let given = Given {
            model: one.model.clone(),
            version: one.version,
            phase,
            since_ms: now_ms,
            asked_ms: now_ms,
            is_waited_for: false,
            measured: None,
        };
        let note = told(&one.entry.incarnation, &given, now_ms);
        self.given.insert(one.entry.incarnation.clone(), given);
        self.instance.apply_order_note(&note, now_ms);
        self.instance.notes.heartbeat.notify_one();
    }

    /// Returns what the peers shall hear.
    pub(super) fn notes(&mut self) -> Vec<OrderReport> {
        let now_ms = now_ms();
        self.given.retain(|_, given| {
            given.phase != OrderPhase::Done || now_ms < given.since_ms + TELL_DONE_MS
        });
        let given = self.given.iter();
        given
            .map(|(engine, given)| told(engine, given, now_ms))
            .collect()
    }
}

fn told(engine: &Incarnation, given: &Given, now_ms: u64) -> OrderReport {
    OrderReport {
        engine: engine.id.clone(),
        model: given.model.clone(),
        version: given.version,
        phase: given.phase,
        age_ms: now_ms.saturating_sub(given.since_ms) as u32,
    }
}
