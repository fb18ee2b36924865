use {
    super::{
        decisions::Decisions,
        engine::{Engine, MEMORY_TOKENS, Report, Run, SLOTS, TOKENS_PER_MS},
        kind::{Kind, LONG, SHORT},
    },
    mangowalk_core::{
        admission::{
            Backlog, BacklogBound, BacklogSettings, FleetCapacity, Job, WaitingRoom,
            WaitingSettings,
        },
        pool::{
            AdmitSettings, ChoiceSettings, EngineEntry, Incarnation, KnownEngine, Load,
            MeanPromptLength, ModelVersion, PrefillRate, choose, retry_after_ms,
        },
        weights::VersionBounds,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::collections::{BTreeMap, HashMap, HashSet},
};

/// Interval at which instances learn of each other's work.
const HEARTBEAT_MS: u64 = 200;

/// The load of a play. Rates are those of the whole deployment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Play {
    pub(crate) engines: usize,
    pub(crate) instances: usize,
    /// Part of the deployment's load that arrives.
    pub(crate) scale: f64,
    pub(crate) short_per_s: f64,
    pub(crate) long_per_s: f64,
    /// Long prompts while there are more than usual.
    pub(crate) burst_per_s: f64,
    pub(crate) burst_from_ms: u64,
    pub(crate) burst_until_ms: u64,
    pub(crate) until_ms: u64,
    pub(crate) seeds: u64,
}

impl Default for Play {
    fn default() -> Play {
        Play {
            engines: 8,
            instances: 17,
            scale: 8.0 / 42.0,
            short_per_s: 228.0,
            long_per_s: 158.0,
            burst_per_s: 350.0,
            burst_from_ms: 3_000,
            burst_until_ms: 9_000,
            until_ms: 12_000,
            seeds: 10,
        }
    }
}

/// What callers of one kind got.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Counts {
    pub(crate) callers: f64,
    pub(crate) in_time: f64,
    pub(crate) served: f64,
    pub(crate) refused: f64,
    pub(crate) returned: f64,
    pub(crate) returned_served: f64,
    pub(crate) longest_wait_ms: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Results(BTreeMap<&'static str, Counts>);

impl Results {
    fn of(&mut self, kind: Kind) -> &mut Counts {
        self.0.entry(kind.name).or_default()
    }

    /// Describes what callers got who were refused and came back.
    pub(crate) fn describe_returned(&self, kind: Kind) -> String {
        let counts = self.0.get(kind.name).copied().unwrap_or_default();
        format!(
            "{}; {} came back, of these served {:.3}",
            self.describe(kind),
            counts.returned,
            self.returned_served(kind),
        )
    }

    /// Returns the part of the callers that came back who were served; 1 if none did.
    pub(crate) fn returned_served(&self, kind: Kind) -> f64 {
        let counts = self.0.get(kind.name).copied().unwrap_or_default();
        match counts.returned > 0.0 {
            true => counts.returned_served / counts.returned,
            false => 1.0,
        }
    }

    pub(crate) fn describe(&self, kind: Kind) -> String {
        let counts = self.0.get(kind.name).copied().unwrap_or_default();
        let part = |count: f64| count / counts.callers;
        format!(
            "{}: {} callers, in time {:.3}, served {:.3}, refused {:.3}, longest wait {} ms",
            kind.name,
            counts.callers,
            part(counts.in_time),
            part(counts.served),
            part(counts.refused),
            counts.longest_wait_ms,
        )
    }
}

/// A caller's request that is not at an engine.
#[derive(Debug, Clone, Copy)]
struct Request {
    kind: Kind,
    session: u64,
    arrived_ms: u64,
    has_returned: bool,
}

impl Request {
    fn left_ms(&self, now_ms: u64) -> u64 {
        (self.arrived_ms + self.kind.deadline_ms).saturating_sub(now_ms)
    }
}

struct Instance {
    engines: Vec<KnownEngine>,
    room: WaitingRoom,
    waiting: HashMap<u64, Request>,
}

struct Fleet {
    decisions: Decisions,
    engines: Vec<Engine>,
    instances: Vec<Instance>,
    prompt_length: MeanPromptLength,
    rate: PrefillRate,
    results: Results,
    returning: BTreeMap<u64, Vec<Request>>,
    next_id: u64,
    random: SmallRng,
}

fn entry(number: usize) -> EngineEntry {
    EngineEntry {
        incarnation: Incarnation {
            id: format!("e{number}"),
            born_ms: 1,
        },
        revision: 1,
        service: "llm".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "a".to_owned(),
        slots: SLOTS as u32,
        draining: false,
        models: vec![ModelVersion {
            model: "model".to_owned(),
            version: 1,
        }],
        cold_left_ms: 0,
        software: String::new(),
    }
}

/// Returns the rate after it has been measured.
fn measured_rate() -> PrefillRate {
    let mut rate = PrefillRate::default();
    (0..100).for_each(|_| rate.record(100 * TOKENS_PER_MS as u32, 100));
    rate
}

impl Fleet {
    fn new(decisions: Decisions, play: &Play, seed: u64) -> Fleet {
        let instance = |seed| Instance {
            engines: (0..play.engines)
                .map(|n| KnownEngine::new(entry(n)))
                .collect(),
            room: WaitingRoom::new(WaitingSettings::default(), seed),
            waiting: HashMap::new(),
        };
        Fleet {
            decisions,
            engines: (0..play.engines).map(|_| Engine::default()).collect(),
            instances: (0..play.instances as u64).map(instance).collect(),
            prompt_length: MeanPromptLength::default(),
            rate: measured_rate(),
            results: Results::default(),
            returning: BTreeMap::new(),
            next_id: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    fn arrive(&mut self, kind: Kind, now_ms: u64) {
        let sessions = kind.sessions_per_engine * self.engines.len() as u64;
        let session = self.random.random_range(0..sessions);
        let base = if kind.is_first { 0 } else { 100_000 };
        self.results.of(kind).callers += 1.0;
        self.receive(
            Request {
                kind,
                session: base + session,
                arrived_ms: now_ms,
                has_returned: false,
            },
            now_ms,
        );
    }

    /// An instance receives a request and sends it, lets it wait or refuses it.
    fn receive(&mut self, request: Request, now_ms: u64) {
        let at = self.random.random_range(0..self.instances.len());
        let must_wait = self.instances[at].room.goes_first(request.kind.urgency());
        if !must_wait {
            match self.send(at, request, now_ms) {
                Ok(()) => return,
                Err(retry_ms) if self.decisions != Decisions::Waiting => {
                    return self.refuse(request, retry_ms, now_ms);
                }
                Err(_) => {}
            }
        }
        if !self.is_in_time(at, request, now_ms) {
            return self.refuse_late(at, request, now_ms);
        }
        self.next_id += 1;
        let id = self.next_id;
        let job = Job {
            id,
            team: "team".to_owned(),
            weight: 1.0,
            priority: request.kind.urgency(),
            tokens: u64::from(request.kind.own_tokens),
            arrived_ms: now_ms,
            deadline_ms: Some(request.left_ms(now_ms)),
            model: String::new(),
            version: String::new(),
            chain: Vec::new(),
            avoid: HashSet::new(),
            cache_store_blocks: 0,
        };
        let instance = &mut self.instances[at];
        if instance.room.enter(job, 4_000, now_ms).is_err() {
            return self.refuse_late(at, request, now_ms);
        }
        instance.waiting.insert(id, request);
    }

    fn drain(&self, at: usize, now_ms: u64) -> (FleetCapacity, f64) {
        let instance = &self.instances[at];
        let backlogs = instance.engines.iter().map(|engine| Backlog {
            unread_tokens: u64::from(engine.load().prefill_tokens),
            slowdown: 1.0,
        });
        let capacity = FleetCapacity::new(backlogs, &self.rate);
        let measured = instance.room.drain_tokens_per_ms(now_ms);
        let drain = capacity.drain_tokens_per_ms(measured, self.instances.len(), &self.rate);
        (capacity, drain)
    }

    /// Returns whether a request that an instance received can be served before its deadline.
    fn is_in_time(&self, at: usize, request: Request, now_ms: u64) -> bool {
        let (capacity, drain) = self.drain(at, now_ms);
        let room = &self.instances[at].room;
        let ahead = room.work_ahead(request.kind.urgency(), now_ms);
        let own_tokens = u64::from(request.kind.own_tokens);
        let read_ms = capacity.read_ms(ahead, own_tokens, drain, &self.rate);
        let reserve_ms = WaitingSettings::default().answer_reserve_ms;
        read_ms + reserve_ms as f64 <= request.left_ms(now_ms) as f64
    }

    /// Refuses a request that can't be served before its deadline.
    fn refuse_late(&mut self, at: usize, request: Request, now_ms: u64) {
        let (_, drain) = self.drain(at, now_ms);
        let own_tokens = u64::from(request.kind.own_tokens);
        let urgency = request.kind.urgency();
        let room = &mut self.instances[at].room;
        let delay_ms = room.retry_delay_ms(own_tokens, urgency, drain, now_ms);
        self.refuse(request, delay_ms, now_ms);
    }

    fn refuse(&mut self, request: Request, retry_ms: u64, now_ms: u64) {
        if request.has_returned || retry_ms > request.left_ms(now_ms) / 3 {
            self.results.of(request.kind).refused += 1.0;
            return;
        }
        self.results.of(request.kind).returned += 1.0;
        let returning = self.returning.entry(now_ms + retry_ms).or_default();
        returning.push(Request {
            has_returned: true,
            ..request
        });
    }

    /// Sends a request to the engine that an instance chooses, or returns the time after which
    /// its caller may come back.
    fn send(&mut self, at: usize, request: Request, now_ms: u64) -> Result<(), u64> {
        let kind = request.kind;
        let requirements = kind.requirements(request.session, self.next_id);
        self.prompt_length.record(requirements.prompt_tokens);
        let defaults = ChoiceSettings::default();
        let settings = ChoiceSettings {
            sampled_engines: self
                .prompt_length
                .sample_size(defaults.sampled_engines, requirements.prompt_tokens),
            ..defaults
        };
        let bound = BacklogBound::new(SHORT.target_ms, &BacklogSettings::default());
        let is_bounded = !kind.is_first && self.decisions != Decisions::Before;
        let unread = |engine: &KnownEngine| {
            let is_cached = engine.has_cached(request.session, settings.retention_ms, now_ms);
            kind.own_tokens + if is_cached { 0 } else { kind.shared_tokens }
        };
        let known = &self.instances[at].engines;
        let waited_ms = now_ms - request.arrived_ms;
        let waits_for_cache = BacklogSettings::default()
            .waits_for_cache(waited_ms, kind.deadline_ms)
            && known.iter().any(|engine| unread(engine) == kind.own_tokens);
        let admits = |engine: &&KnownEngine| {
            let backlog = Backlog {
                unread_tokens: u64::from(engine.load().prefill_tokens),
                slowdown: 1.0,
            };
            let unread = unread(engine);
            let is_passed_over = waits_for_cache && unread > kind.own_tokens;
            !is_bounded || !is_passed_over && bound.admits(backlog, unread.into(), &self.rate)
        };
        let best = choose(
            known.iter().filter(admits),
            &requirements,
            VersionBounds::default(),
            MEMORY_TOKENS,
            &settings,
            self.random.random(),
            now_ms,
        );
        let best = best.ok_or(200_u64)?;
        let refusal = retry_after_ms(
            best,
            &self.rate,
            &AdmitSettings::default(),
            u64::from(kind.own_tokens),
            kind.target_ms,
            kind.is_first,
            now_ms,
        );
        if let Some(retry_ms) = refusal {
            return Err(retry_ms);
        }
        let load = Load {
            requests: 1,
            memory_tokens: requirements.memory_tokens as u32,
            prefill_tokens: unread(best),
            must_finish: 0,
        };
        let chosen = known.iter().position(|known| std::ptr::eq(known, best));
        let chosen = chosen.expect("the chosen engine is one of them");
        self.instances[at].engines[chosen].own.add(load);
        for instance in &mut self.instances {
            instance.engines[chosen].record_part(request.session, now_ms);
        }
        self.engines[chosen].accept(Run {
            instance: at,
            kind,
            session: request.session,
            arrived_ms: request.arrived_ms as f64,
            has_returned: request.has_returned,
            load,
            unread: 0,
            answer_left: kind.answer_tokens,
            first_token_ms: None,
        });
        Ok(())
    }

    fn exchange(&mut self) {
        for engine in 0..self.engines.len() {
            let mut all = Load::default();
            for instance in &self.instances {
                all.add(instance.engines[engine].own);
            }
            for instance in &mut self.instances {
                let known = &mut instance.engines[engine];
                let mut others = all;
                others.remove(known.own);
                known.others = others;
            }
        }
    }

    fn step(&mut self, now_ms: u64) {
        for at in 0..self.engines.len() {
            for report in self.engines[at].step(now_ms as f64) {
                match report {
                    Report::Read { instance, tokens } => {
                        let own = &mut self.instances[instance].engines[at].own;
                        own.prefill_tokens -= tokens;
                    }
                    Report::Ended(run) => {
                        self.instances[run.instance].engines[at]
                            .own
                            .remove(run.load);
                        self.record_end(&run);
                    }
                }
            }
        }
    }

    fn record_end(&mut self, run: &Run) {
        let counts = self.results.of(run.kind);
        let is_served = run.answer_left == 0;
        let first_ms = run.first_token_ms.unwrap_or(f64::MAX) - run.arrived_ms;
        counts.served += f64::from(is_served);
        counts.returned_served += f64::from(is_served && run.has_returned);
        counts.in_time += f64::from(is_served && first_ms <= run.kind.target_ms as f64);
    }

    /// Gives the requests that wait their turns, and refuses those that are too late.
    fn walk(&mut self, now_ms: u64) {
        for at in 0..self.instances.len() {
            let mut turn = self.instances[at].room.begin_walk(now_ms);
            while let Some(id) = turn {
                let request = self.instances[at].waiting[&id];
                turn = match self.send(at, request, now_ms) {
                    Ok(()) => {
                        let waited_ms = now_ms - request.arrived_ms;
                        let counts = self.results.of(request.kind);
                        counts.longest_wait_ms = counts.longest_wait_ms.max(waited_ms);
                        self.instances[at].waiting.remove(&id);
                        self.instances[at].room.place(id, now_ms)
                    }
                    Err(_) => self.instances[at].room.pass_turn(id),
                };
            }
            let settings = WaitingSettings::default();
            let instance = &mut self.instances[at];
            let is_late = |_: &u64, request: &mut Request| {
                let tokens = f64::from(request.kind.own_tokens);
                let needed_ms = self.rate.prefill_ms(tokens) as u64 + settings.answer_reserve_ms;
                request.left_ms(now_ms) < needed_ms
            };
            let late: Vec<_> = instance.waiting.extract_if(is_late).collect();
            for (id, request) in late {
                self.instances[at].room.leave(id);
                self.refuse_late(at, request, now_ms);
            }
        }
    }
}

/// Plays a load with several seeds.
pub(crate) fn play(decisions: Decisions, play: &Play) -> Results {
    let mut results = Results::default();
    for seed in 1..=play.seeds {
        let mut fleet = Fleet::new(decisions, play, seed);
        for now_ms in 0..play.until_ms + LONG.deadline_ms {
            if now_ms % HEARTBEAT_MS == 0 {
                fleet.exchange();
            }
            fleet.step(now_ms);
            fleet.walk(now_ms);
            for request in fleet.returning.remove(&now_ms).unwrap_or_default() {
                fleet.receive(request, now_ms);
            }
            if now_ms >= play.until_ms {
                continue;
            }
            let is_burst = (play.burst_from_ms..play.burst_until_ms).contains(&now_ms);
            let long_per_s = if is_burst {
                play.burst_per_s
            } else {
                play.long_per_s
            };
            for (kind, per_s) in [(SHORT, play.short_per_s), (LONG, long_per_s)] {
                let mut expected = per_s * play.scale / 1_000.0;
                while expected > 0.0 {
                    if fleet.random.random_bool(expected.min(1.0)) {
                        fleet.arrive(kind, now_ms);
                    }
                    expected -= 1.0;
                }
            }
        }
        for kind in [SHORT, LONG] {
            let (sum, counts) = (results.of(kind), *fleet.results.of(kind));
            sum.callers += counts.callers;
            sum.in_time += counts.in_time;
            sum.served += counts.served;
            sum.refused += counts.refused;
            sum.returned += counts.returned;
            sum.returned_served += counts.returned_served;
            sum.longest_wait_ms = sum.longest_wait_ms.max(counts.longest_wait_ms);
        }
    }
    results
}
