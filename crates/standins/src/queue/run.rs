use {
    super::{
        Deployment, Figures, Pattern, PolicyKind,
        baseline::Baseline,
        deployment::FIRST_TOKEN_TIMEOUT_US,
        engine::{EngineModel, Task},
        figures::Outcome,
        mangowalk::Mangowalk,
        policy::{Action, Policy},
        polling::REPORT_INTERVAL_US,
        request::Request,
        workload::workload,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap, HashSet},
    },
};

/// Interval at which engines publish their load.
const PUBLISH_US: u64 = 250_000;

/// Interval at which an instance checks its queue.
const TICK_US: u64 = 50_000;

/// Blocks in a part of the KV cache store: 4,096 tokens.
pub(super) const PART_BLOCKS: usize = 64;

/// Time at which faults start.
const FAULT_START_US: u64 = 16_000_000;
/// Time at which a slow engine recovers.
const FAULT_END_US: u64 = 31_000_000;
/// Time between the crash and the restart of an engine.
const DOWNTIME_US: u64 = 1_000_000;

/// Settings of one simulated run.
#[derive(Debug, Clone)]
pub struct RunSettings {
    /// Deployment whose size and traffic are simulated.
    pub deployment: Deployment,
    /// Pattern of load and faults.
    pub pattern: Pattern,
    /// Policy of every instance.
    pub policy: PolicyKind,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Requests that arrive before this time don't count, in microseconds.
    pub warm_up_us: u64,
    /// Time during which requests arrive, in microseconds.
    pub length_us: u64,
    /// Whether teams that would exceed their rate send nothing instead. Such a
    /// run shows what the other teams get alone.
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

/// Event of the simulation. Requests, engines and instances are given by index.
#[derive(Debug)]
pub(super) enum Event {
    Arrive(u64),
    /// A request arrives at its engine.
    ReachEngine {
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
    FirstTokenTimeout(u64),
    /// Every engine publishes its load.
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
    /// An engine crashes.
    Crash(usize),
    /// A crashed engine is up again.
    Revive(usize),
    /// An instance restarts.
    Restart(usize),
}

/// Progress of a request.
#[derive(Debug, Clone, Default)]
pub(super) struct RequestState {
    /// Index and incarnation of the engine that the request was sent to.
    pub(super) assigned_to: Option<(usize, u64)>,
    pub(super) is_finished: bool,
}

/// State of one run.
pub(super) struct Run {
    pub(super) settings: RunSettings,
    pub(super) requests: Vec<Request>,
    pub(super) request_states: Vec<RequestState>,
    pub(super) outcomes: Vec<Outcome>,
    pub(super) engines: Vec<EngineModel>,
    pub(super) instances: Vec<Box<dyn Policy>>,
    /// Times and numbers of pending events, the next one on top.
    pub(super) heap: BinaryHeap<Reverse<(u64, u64)>>,
    pub(super) events: HashMap<u64, Event>,
    pub(super) next: u64,
    pub(super) now_us: u64,
    /// Time at which each block was last computed.
    pub(super) computed: HashMap<u64, u64>,
    /// Last blocks of the parts in the KV cache store.
    pub(super) cache_store: HashSet<u64>,
    pub(super) rng: SmallRng,
}

/// Simulates one run and returns the figures of its requests.
pub fn simulate(settings: &RunSettings) -> Figures {
    let mut run = Run::new(settings.clone());
    run.schedule_all();
    run.process_events();
    Figures::of(&run.outcomes)
}

/// Returns the policy of one instance without any state.
pub(super) fn new_policy(settings: &RunSettings, instance: usize, seed: u64) -> Box<dyn Policy> {
    let (deployment, kind) = (&settings.deployment, settings.policy);
    match kind {
        PolicyKind::Mangowalk | PolicyKind::NoEvents | PolicyKind::Import => {
            Box::new(Mangowalk::new(deployment, kind, instance, seed))
        }
        _ => Box::new(Baseline::new(deployment, kind, instance)),
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
            .map(|i| new_policy(&settings, i, settings.seed * 100 + i as u64))
            .collect();
        Run {
            request_states: vec![RequestState::default(); requests.len()],
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
            cache_store: HashSet::new(),
            rng: SmallRng::seed_from_u64(settings.seed),
            requests,
            settings,
        }
    }

    /// Schedules an event. Events at the same time are handled in the order in
    /// which they were scheduled.
    pub(super) fn schedule(&mut self, at_us: u64, event: Event) {
        self.heap.push(Reverse((at_us, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    /// Schedules arrivals, periodic work and the faults of the pattern.
    fn schedule_all(&mut self) {
        for id in 0..self.requests.len() as u64 {
            self.schedule(self.requests[id as usize].at_us, Event::Arrive(id));
        }
        for instance in 0..self.settings.deployment.instances {
            let offset_us = self.rng.random_range(0..REPORT_INTERVAL_US);
            self.schedule_reads(instance, offset_us);
            self.schedule(offset_us % TICK_US, Event::Tick(instance));
        }
        self.schedule(0, Event::Publish);
        match self.settings.pattern {
            Pattern::SlowUpstream => {
                self.schedule(
                    FAULT_START_US,
                    Event::Slow {
                        engine: 0,
                        factor: 8,
                    },
                );
                self.schedule(
                    FAULT_END_US,
                    Event::Slow {
                        engine: 0,
                        factor: 1,
                    },
                );
            }
            Pattern::EngineRestart => {
                self.schedule(FAULT_START_US, Event::Crash(0));
                self.schedule(FAULT_START_US + DOWNTIME_US, Event::Revive(0));
            }
            Pattern::RestartAll => {
                for instance in 0..self.settings.deployment.instances {
                    let at_us = FAULT_START_US + self.rng.random_range(0..1_000_000);
                    self.schedule(at_us, Event::Restart(instance));
                }
            }
            _ => {}
        }
    }

    fn process_events(&mut self) {
        // Continues after the last arrivals, so that they too can be served.
        let end_us = self.settings.length_us + 2 * FIRST_TOKEN_TIMEOUT_US;
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

    pub(super) fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(id) => self.arrive(id),
            Event::ReachEngine { engine, task } => self.reach_engine(engine, task),
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
            Event::FirstTokenTimeout(id) => self.time_out(id),
            Event::Publish => {
                for engine in &mut self.engines {
                    engine.publish();
                }
                self.schedule(self.now_us + PUBLISH_US, Event::Publish);
            }
            Event::Report { instance, engine } => self.report(instance, engine),
            Event::ReadEvents { instance, engine } => self.read_events(instance, engine),
            Event::Tick(instance) => {
                let now_ms = self.now_ms();
                let actions = self.instances[instance].tick(now_ms);
                self.act(actions);
                self.schedule(self.now_us + TICK_US, Event::Tick(instance));
            }
            Event::Slow { engine, factor } => self.engines[engine].slow_factor = factor,
            Event::Crash(engine) => self.crash(engine),
            Event::Revive(engine) => self.engines[engine].is_up = true,
            Event::Restart(instance) => self.restart(instance),
        }
    }

    /// Refuses a request beyond its team's rate, and gives any other one to its
    /// instance.
    fn arrive(&mut self, id: u64) {
        let request = self.requests[id as usize].clone();
        if self.settings.pattern.is_limited() && !request.in_rate {
            self.outcomes[id as usize].refused = true;
            return;
        }
        let cache_store_blocks = self.cache_store_blocks(&request);
        self.schedule(
            request.at_us + FIRST_TOKEN_TIMEOUT_US,
            Event::FirstTokenTimeout(id),
        );
        let now_ms = self.now_ms();
        let actions = self.instances[request.instance].arrive(&request, cache_store_blocks, now_ms);
        self.act(actions);
    }

    /// Returns the number of blocks at the start of the prompt that the KV cache
    /// store holds.
    fn cache_store_blocks(&self, request: &Request) -> usize {
        let parts = request
            .chain
            .iter()
            .skip(PART_BLOCKS - 1)
            .step_by(PART_BLOCKS);
        parts.take_while(|b| self.cache_store.contains(b)).count() * PART_BLOCKS
    }

    /// Carries out the decisions of an instance.
    pub(super) fn act(&mut self, actions: Vec<Action>) {
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
                    self.request_states[id as usize].assigned_to =
                        Some((engine, self.engines[engine].incarnation));
                    self.schedule(
                        self.now_us + distance_us,
                        Event::ReachEngine { engine, task },
                    );
                }
                Action::Refuse { id } => {
                    self.request_states[id as usize].is_finished = true;
                    self.outcomes[id as usize].refused = true;
                }
            }
        }
    }

    /// Returns the one-way delay between an instance and an engine, in
    /// microseconds.
    pub(super) fn distance_us(&self, instance: usize, engine: usize) -> u64 {
        let d = &self.settings.deployment;
        let is_same_domain = instance % d.failure_domains == engine % d.failure_domains;
        if is_same_domain {
            0
        } else {
            d.cross_domain_rtt_us / 2
        }
    }
}
