use {
    super::{
        Deployment, Figures, Pattern, PolicyKind,
        deployment::PATIENCE_US,
        engine::{EngineModel, Prefill, Task},
        figures::Outcome,
        mangowalk::Mangowalk,
        plain::Plain,
        policy::{Action, Policy},
        request::Request,
        workload::workload,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap, HashSet},
    },
};

/// Engines whose state, or whose events, an instance reads in one round; as
/// in the running router.
const ASKED_A_ROUND: usize = 8;
const REPORT_ROUND_US: u64 = 250_000;
const EVENTS_ROUND_US: u64 = 200_000;

/// Time between two publications of an engine's load.
const PUBLISH_US: u64 = 250_000;

/// Time between two looks at the queue.
const TICK_US: u64 = 50_000;

/// Time within which a block that is computed again counts as wasted.
const RECOMPUTED_US: u64 = 30_000_000;

/// Blocks in a kept piece: 4,096 tokens.
const PIECE_BLOCKS: usize = 64;

/// When faults set in, and when a slow engine recovers.
const FAULT_US: u64 = 16_000_000;
const RECOVER_US: u64 = 31_000_000;
const DOWN_US: u64 = 1_000_000;

/// One run.
#[derive(Debug, Clone)]
pub struct RunSettings {
    /// Deployment.
    pub deployment: Deployment,
    /// Pattern of load and faults.
    pub pattern: Pattern,
    /// Policy.
    pub policy: PolicyKind,
    /// Seed of everything random.
    pub seed: u64,
    /// Time at the start that is not measured.
    pub warm_up_us: u64,
    /// Time over which requests come.
    pub length_us: u64,
    /// Whether teams that send more than their rate send nothing instead, to
    /// tell what the others get alone.
    pub without_flood: bool,
}

impl Default for RunSettings {
    fn default() -> RunSettings {
        RunSettings {
            deployment: Deployment::calloway(),
            pattern: Pattern::Steady,
            policy: PolicyKind::Mangowalk,
            seed: 1,
            warm_up_us: 8_000_000,
            length_us: 40_000_000,
            without_flood: false,
        }
    }
}

#[derive(Debug)]
enum Event {
    Arrive(u64),
    Reach {
        engine: usize,
        task: Task,
    },
    Prefilled {
        engine: usize,
        incarnation: u64,
        task: Task,
    },
    Ended {
        engine: usize,
        incarnation: u64,
        id: u64,
    },
    GiveUp(u64),
    Publish,
    Report {
        instance: usize,
        engine: usize,
    },
    ReadEvents {
        instance: usize,
        engine: usize,
    },
    Tick(usize),
    Slow {
        engine: usize,
        factor: u64,
    },
    Crash(usize),
    Revive(usize),
    Restart(usize),
}

/// Where a request is now.
#[derive(Debug, Clone, Default)]
struct Place {
    on: Option<(usize, u64)>,
    over: bool,
}

struct Run {
    settings: RunSettings,
    requests: Vec<Request>,
    places: Vec<Place>,
    outcomes: Vec<Outcome>,
    engines: Vec<EngineModel>,
    instances: Vec<Box<dyn Policy>>,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next: u64,
    now_us: u64,
    computed: HashMap<u64, u64>,
    kept: HashSet<u64>,
    rng: SmallRng,
}

/// Runs one policy on one workload and returns what its callers got.
pub fn simulate(settings: &RunSettings) -> Figures {
    let mut run = Run::new(settings.clone());
    run.schedule_all();
    run.go();
    Figures::of(&run.outcomes)
}

fn policy(settings: &RunSettings, instance: usize, seed: u64) -> Box<dyn Policy> {
    let (deployment, kind) = (&settings.deployment, settings.policy);
    match kind {
        PolicyKind::Mangowalk | PolicyKind::NoEvents | PolicyKind::Import => {
            Box::new(Mangowalk::new(deployment, kind, instance, seed))
        }
        _ => Box::new(Plain::new(deployment, kind, instance)),
    }
}

impl Run {
    fn new(settings: RunSettings) -> Run {
        let d = &settings.deployment;
        let mut requests = workload(d, settings.pattern, settings.seed, settings.length_us);
        if settings.without_flood {
            requests.retain(|r| !settings.pattern.floods(r.team));
            for (id, request) in requests.iter_mut().enumerate() {
                request.id = id as u64;
            }
        }
        let outcomes = requests
            .iter()
            .map(|r| Outcome {
                team: r.team,
                tokens: r.tokens(),
                in_rate: r.in_rate
                    && (settings.pattern.is_limited() || !settings.pattern.floods(r.team)),
                measured: r.at_us >= settings.warm_up_us,
                blocks: r.chain.len(),
                ..Outcome::default()
            })
            .collect();
        let instances = (0..d.instances)
            .map(|i| policy(&settings, i, settings.seed * 100 + i as u64))
            .collect();
        Run {
            places: vec![Place::default(); requests.len()],
            outcomes,
            engines: (0..d.engines)
                .map(|e| EngineModel::new(e as u64 + 1))
                .collect(),
            instances,
            heap: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            now_us: 0,
            computed: HashMap::new(),
            kept: HashSet::new(),
            rng: SmallRng::seed_from_u64(settings.seed),
            requests,
            settings,
        }
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.heap.push(Reverse((at_us, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    fn schedule_all(&mut self) {
        for id in 0..self.requests.len() as u64 {
            self.at(self.requests[id as usize].at_us, Event::Arrive(id));
        }
        for instance in 0..self.settings.deployment.instances {
            let offset_us = self.rng.random_range(0..REPORT_ROUND_US);
            self.schedule_reads(instance, offset_us);
            self.at(offset_us % TICK_US, Event::Tick(instance));
        }
        self.at(0, Event::Publish);
        match self.settings.pattern {
            Pattern::SlowUpstream => {
                self.at(
                    FAULT_US,
                    Event::Slow {
                        engine: 0,
                        factor: 8,
                    },
                );
                self.at(
                    RECOVER_US,
                    Event::Slow {
                        engine: 0,
                        factor: 1,
                    },
                );
            }
            Pattern::EngineEmpty => {
                self.at(FAULT_US, Event::Crash(0));
                self.at(FAULT_US + DOWN_US, Event::Revive(0));
            }
            Pattern::Herd => {
                for instance in 0..self.settings.deployment.instances {
                    let at_us = FAULT_US + self.rng.random_range(0..1_000_000);
                    self.at(at_us, Event::Restart(instance));
                }
            }
            _ => {}
        }
    }

    fn schedule_reads(&mut self, instance: usize, from_us: u64) {
        for engine in 0..self.settings.deployment.engines {
            let round = (engine / ASKED_A_ROUND) as u64;
            let at_us = from_us + round * REPORT_ROUND_US;
            self.at(at_us, Event::Report { instance, engine });
            let at_us = from_us + round * EVENTS_ROUND_US;
            self.at(at_us, Event::ReadEvents { instance, engine });
        }
    }

    fn go(&mut self) {
        // Requests that came late still get their time.
        let end_us = self.settings.length_us + 2 * PATIENCE_US;
        while let Some(Reverse((at_us, number))) = self.heap.pop() {
            if at_us > end_us {
                return;
            }
            self.now_us = at_us;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(id) => self.arrive(id),
            Event::Reach { engine, task } => self.reach(engine, task),
            Event::Prefilled {
                engine,
                incarnation,
                task,
            } => self.prefilled(engine, incarnation, &task),
            Event::Ended {
                engine,
                incarnation,
                id,
            } => self.ended(engine, incarnation, id),
            Event::GiveUp(id) => self.give_up(id),
            Event::Publish => {
                for engine in &mut self.engines {
                    engine.publish();
                }
                self.at(self.now_us + PUBLISH_US, Event::Publish);
            }
            Event::Report { instance, engine } => self.report(instance, engine),
            Event::ReadEvents { instance, engine } => self.read_events(instance, engine),
            Event::Tick(instance) => {
                let now_ms = self.now_ms();
                let actions = self.instances[instance].tick(now_ms);
                self.act(actions);
                self.at(self.now_us + TICK_US, Event::Tick(instance));
            }
            Event::Slow { engine, factor } => self.engines[engine].slow = factor,
            Event::Crash(engine) => self.crash(engine),
            Event::Revive(engine) => self.engines[engine].up = true,
            Event::Restart(instance) => self.restart(instance),
        }
    }

    fn arrive(&mut self, id: u64) {
        let request = self.requests[id as usize].clone();
        if self.settings.pattern.is_limited() && !request.in_rate {
            self.outcomes[id as usize].refused = true;
            return;
        }
        let kept_blocks = self.kept_blocks(&request);
        self.at(request.at_us + PATIENCE_US, Event::GiveUp(id));
        let now_ms = self.now_ms();
        let actions = self.instances[request.instance].arrive(&request, kept_blocks, now_ms);
        self.act(actions);
    }

    fn kept_blocks(&self, request: &Request) -> usize {
        let pieces = request
            .chain
            .iter()
            .skip(PIECE_BLOCKS - 1)
            .step_by(PIECE_BLOCKS);
        pieces.take_while(|b| self.kept.contains(b)).count() * PIECE_BLOCKS
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    id,
                    engine,
                    import_blocks,
                } => {
                    let request = &self.requests[id as usize];
                    let task = Task {
                        id,
                        chain: request.chain.clone(),
                        answer_tokens: request.answer_tokens,
                        import_blocks,
                    };
                    let distance_us = self.distance_us(request.instance, engine);
                    self.places[id as usize].on = Some((engine, self.engines[engine].incarnation));
                    self.at(self.now_us + distance_us, Event::Reach { engine, task });
                }
                Action::Refuse { id } => {
                    self.places[id as usize].over = true;
                    self.outcomes[id as usize].refused = true;
                }
            }
        }
    }

    /// Returns the time of one way.
    fn distance_us(&self, instance: usize, engine: usize) -> u64 {
        let d = &self.settings.deployment;
        let near = instance % d.failure_domains == engine % d.failure_domains;
        if near { 0 } else { d.other_domain_us / 2 }
    }

    fn reach(&mut self, engine: usize, task: Task) {
        if !self.engines[engine].up {
            return self.again(task.id, engine);
        }
        let prefill = self.engines[engine].take(task);
        self.begin(engine, prefill);
    }

    fn begin(&mut self, engine: usize, prefill: Option<Prefill>) {
        let Some(prefill) = prefill else { return };
        let chain = &prefill.task.chain;
        let known = |b: &&u64| {
            let computed_us = self.computed.get(b);
            computed_us.is_some_and(|us| self.now_us - us < RECOMPUTED_US)
        };
        let behind = prefill.hit_blocks + prefill.task.import_blocks;
        let recomputed = chain.iter().skip(behind).filter(known).count();
        let outcome = &mut self.outcomes[prefill.task.id as usize];
        outcome.hit_blocks = prefill.hit_blocks;
        outcome.recomputed_blocks = recomputed;
        let event = Event::Prefilled {
            engine,
            incarnation: self.engines[engine].incarnation,
            task: prefill.task,
        };
        self.at(self.now_us + prefill.takes_us, event);
    }

    fn prefilled(&mut self, engine: usize, incarnation: u64, task: &Task) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        for (depth, block) in task.chain.iter().enumerate() {
            let again = self.computed.insert(*block, self.now_us).is_some();
            if again && (depth + 1) % PIECE_BLOCKS == 0 {
                self.kept.insert(*block);
            }
        }
        let (next, answer_us) = self.engines[engine].prefilled(task);
        self.begin(engine, next);
        let ended = Event::Ended {
            engine,
            incarnation,
            id: task.id,
        };
        self.at(self.now_us + answer_us, ended);
        let at = task.id as usize;
        if self.places[at].on != Some((engine, incarnation)) {
            return;
        }
        let request = &self.requests[at];
        let back_us = self.distance_us(request.instance, engine);
        let first_token_us = self.now_us + back_us - request.at_us;
        let outcome = &mut self.outcomes[at];
        outcome.first_token_us.get_or_insert(first_token_us);
        let (instance, now_ms) = (request.instance, self.now_ms());
        self.instances[instance].first_token(task.id, now_ms);
    }

    fn ended(&mut self, engine: usize, incarnation: u64, id: u64) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        let next = self.engines[engine].ended();
        self.begin(engine, next);
        if self.places[id as usize].on != Some((engine, incarnation)) {
            return;
        }
        self.places[id as usize].over = true;
        let cached = self.outcomes[id as usize].hit_blocks;
        self.settle(id, engine, Some(cached));
    }

    fn settle(&mut self, id: u64, engine: usize, cached_blocks: Option<usize>) {
        self.places[id as usize].on = None;
        let instance = self.requests[id as usize].instance;
        let now_ms = self.now_ms();
        let actions = self.instances[instance].ended(id, engine, cached_blocks, now_ms);
        self.act(actions);
    }

    fn give_up(&mut self, id: u64) {
        let place = self.places[id as usize].clone();
        if place.over || self.outcomes[id as usize].first_token_us.is_some() {
            return;
        }
        let instance = self.requests[id as usize].instance;
        if self.instances[instance].leave(id) {
            self.places[id as usize].over = true;
        } else if let Some((engine, _)) = place.on
            && self.engines[engine].drop_waiting(id)
        {
            self.places[id as usize].over = true;
            self.settle(id, engine, None);
        }
    }

    fn again(&mut self, id: u64, dead: usize) {
        self.settle(id, dead, None);
        let request = self.requests[id as usize].clone();
        let now_ms = self.now_ms();
        let actions = self.instances[request.instance].again(&request, dead, now_ms);
        self.act(actions);
    }

    fn report(&mut self, instance: usize, engine: usize) {
        let state = self.engines[engine].state();
        let now_ms = self.now_ms();
        let actions = self.instances[instance].report(engine, state.as_ref(), now_ms);
        self.act(actions);
        let rounds = self.settings.deployment.engines.div_ceil(ASKED_A_ROUND) as u64;
        let at_us = self.now_us + rounds * REPORT_ROUND_US;
        self.at(at_us, Event::Report { instance, engine });
    }

    fn read_events(&mut self, instance: usize, engine: usize) {
        let Some(from) = self.instances[instance].events_from(engine) else {
            return;
        };
        let model = &self.engines[engine];
        let events = model.cache.events(model.incarnation, from);
        self.instances[instance].cache_events(engine, &events);
        let rounds = self.settings.deployment.engines.div_ceil(ASKED_A_ROUND) as u64;
        let at_us = self.now_us + rounds * EVENTS_ROUND_US;
        self.at(at_us, Event::ReadEvents { instance, engine });
    }

    fn crash(&mut self, engine: usize) {
        let incarnation = self.engines[engine].incarnation;
        self.engines[engine] = EngineModel::new(incarnation + 1_000);
        self.engines[engine].up = false;
        let lost: Vec<u64> = (0..self.places.len() as u64)
            .filter(|id| self.places[*id as usize].on == Some((engine, incarnation)))
            .collect();
        for id in lost {
            self.again(id, engine);
        }
    }

    /// Replaces an instance. Callers whose first token had not come send
    /// their request again within a second.
    fn restart(&mut self, instance: usize) {
        let seed = self.rng.random();
        self.instances[instance] = policy(&self.settings, instance, seed);
        for engine in 0..self.engines.len() {
            let at_us = self.now_us + (engine / ASKED_A_ROUND) as u64 * REPORT_ROUND_US;
            self.at(at_us, Event::Report { instance, engine });
        }
        for id in 0..self.requests.len() {
            let request = &self.requests[id];
            let came = request.at_us <= self.now_us && request.instance == instance;
            if !came || self.places[id].over {
                continue;
            }
            self.places[id].on = None;
            if self.outcomes[id].first_token_us.is_none() {
                let at_us = self.now_us + self.rng.random_range(0..1_000_000);
                self.at(at_us, Event::Arrive(id as u64));
            }
        }
    }
}
