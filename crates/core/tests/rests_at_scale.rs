//! Services whose engines refuse a part of what they get and ask for rest, in fleets of several
//! sizes: what is served, what engines get within a rest, and how much at the end of one.

use {
    mangowalk_core::{
        engine_notice::NoticeSettings,
        pool::{
            ChoiceSettings, EngineEntry, EngineRequirements, EngineTable, Incarnation, Load, choose,
        },
        weights::VersionBounds,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap},
        fmt::Write,
    },
};

const DOMAINS: usize = 4;

/// Time within which engines refuse, and in which requests are counted.
const REFUSAL_MS: std::ops::Range<u64> = 2_000..9_000;

/// Rest that engines ask for.
const REST_MS: u64 = 3_000;

/// Time after the request for a rest from which arrivals count, and how many are tolerated.
const REST_BEGINS_MS: u64 = 500;
const MAX_WITHIN_REST: usize = 2;

/// Time from a send to its refusal, and to the end of an answer.
const REFUSED_AFTER_MS: u64 = 2;
const SERVED_AFTER_MS: u64 = 300;

/// Attempts with engines that refuse, after which the caller is refused.
const MAX_ATTEMPTS: usize = 3;

/// Time that callers have. They come back once, after a third of what is left at the latest.
const DEADLINE_MS: u64 = 5_000;

/// Pause after a refusal by an engine whose rest isn't kept.
const PAUSE_MS: u64 = 150;

/// Window in which arrivals at one engine are counted.
const BURST_MS: u64 = 100;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    /// Engines are paused for a moment, and used all the same where no other is left.
    Ignore,
    /// Rests are kept.
    Keep,
}

#[derive(Debug, Clone, Copy)]
struct Fleet {
    instances: usize,
    engines: usize,
    requests_per_s: f64,
    /// Fraction of the engines that refuse.
    refusing_engines: f64,
    /// Fraction of requests that these refuse.
    refused: f64,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    instance: usize,
    arrived_ms: u64,
    deadline_ms: u64,
    has_come_back: bool,
}

#[derive(Debug, Clone)]
enum Event {
    Arrive(Request),
    Try(Request, Vec<usize>),
    Refused(Request, Vec<usize>),
    Served(Request, usize),
}

struct Instance {
    engines: EngineTable,
    domain: String,
}

#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    served: usize,
    most_within_rest: usize,
    most_in_burst: usize,
    /// Requests and served ones by half a second.
    by_time: HashMap<u64, (usize, usize)>,
}

struct Model {
    fleet: Fleet,
    policy: Policy,
    random: SmallRng,
    instances: Vec<Instance>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    /// Times of arrivals and of the rests that were asked for, by instance and engine.
    arrivals: HashMap<(usize, usize), Vec<u64>>,
    rests: HashMap<(usize, usize), Vec<u64>>,
    outcome: Outcome,
}

fn id(engine: usize) -> String {
    format!("e{engine:03}")
}

fn domain(number: usize) -> String {
    format!("d{}", number % DOMAINS)
}

fn entry(engine: usize) -> EngineEntry {
    EngineEntry {
        incarnation: Incarnation {
            id: id(engine),
            born_ms: 1,
        },
        revision: 1,
        service: "desk".to_owned(),
        software: "v1".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: domain(engine),
        slots: 32,
        draining: false,
        models: Vec::new(),
        cold_left_ms: 0,
    }
}

impl Model {
    fn new(fleet: Fleet, policy: Policy) -> Model {
        let instances = (0..fleet.instances).map(|number| {
            let mut engines = EngineTable::default();
            for engine in 0..fleet.engines {
                engines.apply_entry(entry(engine));
            }
            Instance {
                engines,
                domain: domain(number),
            }
        });
        Model {
            policy,
            random: SmallRng::seed_from_u64(7),
            instances: instances.collect(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            arrivals: HashMap::new(),
            rests: HashMap::new(),
            outcome: Outcome::default(),
            fleet,
        }
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((at_ms, self.next_event)));
    }

    fn run(mut self) -> Outcome {
        let end_ms = REFUSAL_MS.end;
        let requests = (self.fleet.requests_per_s * end_ms as f64 / 1_000.0) as usize;
        for _ in 0..requests {
            let arrived_ms = self.random.random_range(0..end_ms);
            let request = Request {
                instance: self.random.random_range(0..self.fleet.instances),
                arrived_ms,
                deadline_ms: arrived_ms + DEADLINE_MS,
                has_come_back: false,
            };
            self.schedule(arrived_ms, Event::Arrive(request));
        }
        while let Some(Reverse((now_ms, number))) = self.queue.pop() {
            let event = self.events.remove(&number).expect("it is scheduled once");
            self.handle(event, now_ms);
        }
        self.count_within_rests();
        self.count_bursts();
        self.outcome
    }

    fn handle(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::Arrive(request) => {
                if !request.has_come_back && REFUSAL_MS.contains(&now_ms) {
                    self.outcome.requests += 1;
                    self.at(request).0 += 1;
                }
                self.attempt(request, Vec::new(), now_ms);
            }
            Event::Try(request, tried) => self.attempt(request, tried, now_ms),
            Event::Refused(request, tried) => self.end_refused(request, tried, now_ms),
            Event::Served(request, engine) => {
                change_load(&mut self.instances[request.instance], engine, -1);
                if REFUSAL_MS.contains(&request.arrived_ms) {
                    self.outcome.served += 1;
                    self.at(request).1 += 1;
                }
            }
        }
    }

    fn at(&mut self, request: Request) -> &mut (usize, usize) {
        let half_second = request.arrived_ms / 500;
        self.outcome.by_time.entry(half_second).or_default()
    }

    fn attempt(&mut self, request: Request, mut tried: Vec<usize>, now_ms: u64) {
        let Some(engine) = self.choose(request, &tried, now_ms) else {
            return self.refuse(request, now_ms);
        };
        tried.push(engine);
        let pair = (request.instance, engine);
        self.arrivals.entry(pair).or_default().push(now_ms);
        change_load(&mut self.instances[request.instance], engine, 1);
        let refusing = (self.fleet.refusing_engines * self.fleet.engines as f64) as usize;
        let is_refused = engine < refusing
            && REFUSAL_MS.contains(&now_ms)
            && self.random.random_bool(self.fleet.refused);
        match is_refused {
            true => self.schedule(now_ms + REFUSED_AFTER_MS, Event::Refused(request, tried)),
            false => self.schedule(now_ms + SERVED_AFTER_MS, Event::Served(request, engine)),
        }
    }

    fn choose(&mut self, request: Request, tried: &[usize], now_ms: u64) -> Option<usize> {
        let draw = self.random.random();
        let instance = &self.instances[request.instance];
        let requirements = EngineRequirements {
            service: "desk".to_owned(),
            model: None,
            memory_tokens: 0,
            prompt_tokens: 0,
            parts: Vec::new(),
            isolation_salt: 0,
            domain: instance.domain.clone(),
        };
        let notices = instance.engines.notices();
        let settings = NoticeSettings::default();
        let number = |id: &str| id[1..].parse::<usize>().expect("a number");
        let accepting = instance.engines.accepting_engines("desk", now_ms);
        let usable = accepting.filter(|engine| {
            let incarnation = &engine.entry.incarnation;
            let barrier = notices.barrier(incarnation, request.arrived_ms, &settings, now_ms);
            barrier.is_none() && !tried.contains(&number(&incarnation.id))
        });
        let chosen = choose(
            usable,
            &requirements,
            VersionBounds::default(),
            u64::MAX,
            &ChoiceSettings::default(),
            draw,
            now_ms,
        );
        chosen.map(|engine| number(&engine.entry.incarnation.id))
    }

    fn end_refused(&mut self, request: Request, tried: Vec<usize>, now_ms: u64) {
        let engine = *tried.last().expect("it was sent");
        let pair = (request.instance, engine);
        self.rests.entry(pair).or_default().push(now_ms);
        change_load(&mut self.instances[request.instance], engine, -1);
        let instance = &mut self.instances[request.instance];
        match self.policy {
            Policy::Ignore => {
                let known = instance.engines.get_mut(&id(engine));
                let known = known.expect("it is listed");
                known.pause_after_refusal(PAUSE_MS, now_ms);
            }
            Policy::Keep => {
                let incarnation = entry(engine).incarnation;
                let settings = NoticeSettings::default();
                let engines = &mut instance.engines;
                engines.record_rest(&incarnation, REST_MS, &settings, now_ms);
            }
        }
        match tried.len() < MAX_ATTEMPTS {
            true => self.schedule(now_ms, Event::Try(request, tried)),
            false => self.refuse(request, now_ms),
        }
    }

    /// Sends the caller away, who comes back once if it has the time.
    fn refuse(&mut self, request: Request, now_ms: u64) {
        if request.has_come_back || now_ms >= request.deadline_ms {
            return;
        }
        let engines = &self.instances[request.instance].engines;
        let settings = NoticeSettings::default();
        let rest_ms = engines.all_rest_for_ms("desk", |_| true, &settings, now_ms);
        let told_ms = rest_ms.unwrap_or(150) + self.random.random_range(0..350);
        let wait_ms = told_ms.min((request.deadline_ms - now_ms) / 3);
        let returning = Request {
            instance: self.random.random_range(0..self.fleet.instances),
            has_come_back: true,
            ..request
        };
        self.schedule(now_ms + wait_ms, Event::Arrive(returning));
    }

    fn count_within_rests(&mut self) {
        for (pair, rests) in &self.rests {
            let arrivals = &self.arrivals[pair];
            let within = rests.iter().map(|asked_ms| {
                let rest = asked_ms + REST_BEGINS_MS..asked_ms + REST_MS;
                arrivals.iter().filter(|at| rest.contains(at)).count()
            });
            let most = within.max().unwrap_or(0);
            self.outcome.most_within_rest = self.outcome.most_within_rest.max(most);
        }
    }

    fn count_bursts(&mut self) {
        let mut bursts: HashMap<(usize, u64), usize> = HashMap::new();
        for ((_, engine), arrivals) in &self.arrivals {
            for at_ms in arrivals.iter().filter(|at_ms| REFUSAL_MS.contains(at_ms)) {
                *bursts.entry((*engine, at_ms / BURST_MS)).or_default() += 1;
            }
        }
        self.outcome.most_in_burst = bursts.values().copied().max().unwrap_or(0);
    }
}

/// Adds a request to the load of an engine, or subtracts one.
fn change_load(instance: &mut Instance, engine: usize, change: i32) {
    let Some(known) = instance.engines.get_mut(&id(engine)) else {
        return;
    };
    let one = Load {
        requests: 1,
        ..Load::default()
    };
    match change > 0 {
        true => known.own.add(one),
        false => known.own.remove(one),
    }
}

/// Instances, engines and requests a second.
const SIZES: [(usize, usize, f64); 3] = [(7, 12, 70.0), (100, 45, 1_000.0), (300, 90, 2_000.0)];

fn play(size: (usize, usize, f64), refusing: f64, refused: f64, policy: Policy) -> Outcome {
    let fleet = Fleet {
        instances: size.0,
        engines: size.1,
        requests_per_s: size.2,
        refusing_engines: refusing,
        refused,
    };
    Model::new(fleet, policy).run()
}

/// Returns the smallest share served of the requests of any half second.
fn worst_half_second(outcome: &Outcome) -> f64 {
    let shares = outcome
        .by_time
        .values()
        .map(|(all, served)| *served as f64 / *all as f64);
    shares.fold(1.0, f64::min)
}

/// Guards against rests that aren't kept, or cost more than they have to, in fleets of any
/// size.
#[test]
fn rests_are_kept_and_what_has_room_is_used_at_any_size() {
    let mut table = String::new();
    for size in SIZES {
        for (refusing, refused) in [(0.28, 0.97), (1.0, 0.3), (1.0, 0.6), (1.0, 0.9)] {
            for policy in [Policy::Ignore, Policy::Keep] {
                let outcome = play(size, refusing, refused, policy);
                let _ = writeln!(
                    table,
                    "{:>3} instances, {refusing:.2} of engines refuse {refused:.2}, {policy:?}: \
                     served {:.3}, worst half second {:.3}, within a rest {}, in 100 ms {}",
                    size.0,
                    outcome.served as f64 / outcome.requests as f64,
                    worst_half_second(&outcome),
                    outcome.most_within_rest,
                    outcome.most_in_burst,
                );
                if policy != Policy::Ignore {
                    assert!(outcome.most_within_rest <= MAX_WITHIN_REST, "{table}");
                }
            }
        }
    }
    insta::assert_snapshot!(table);
}
