//! Two methods of bounding what engines hold, and a count without a reserve, in fleets of several
//! sizes: how much of an engine's memory is taken at most, and how much is used.

use {
    mangowalk_core::{
        engine_room::{
            EngineRooms, EngineUse, FleetView, OtherInstances, RoomNeed, RoomSettings, fixed_part,
        },
        pool::{Load, rendezvous},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, VecDeque},
        fmt::Write,
    },
};

const MEMORY_TOKENS: u64 = 110_615;
const SLOTS: u32 = 200;
const STEP_MS: u64 = 10;
const END_MS: u64 = 7_000;

/// Time at which all instances are killed, or the fleet is divided and whole again.
const FAULT_MS: std::ops::Range<u64> = 3_000..5_000;

const HEARTBEAT_MS: u64 = 200;
const DELIVERED_AFTER_MS: u64 = 200;

/// Time after a send by which all know of it, with some to spare.
const TOLD_AFTER_MS: u64 = 450;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Method {
    /// What is known to be at an engine, without a reserve.
    Count,
    /// Parts of each engine's memory by the rank of an instance.
    Parts,
    /// The known count, with a reserve for what others may have sent: what is free is divided
    /// by rank, and an instance sends no more than its part until others know of it.
    Reserve,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Scenario {
    /// Requests choose among all engines at random.
    Spread,
    /// The same, with long prompts only.
    Long,
    /// All prefer the same engines.
    Herd,
    /// All instances are killed, and start again at once.
    Kill,
    /// Two halves of the instances don't hear each other.
    Partition,
}

struct Instance {
    own: Vec<Load>,
    /// Sends at each engine of which others may not know: when, and their tokens.
    recent: Vec<VecDeque<(u64, u64)>>,
    started_ms: Option<u64>,
    generation: u32,
    /// Heartbeats on their way, with the time of their arrival.
    told: VecDeque<(u64, BTreeMap<usize, Load>)>,
}

impl Instance {
    fn new(engines: usize, started_ms: Option<u64>, generation: u32) -> Instance {
        Instance {
            own: vec![Load::default(); engines],
            recent: vec![VecDeque::new(); engines],
            started_ms,
            generation,
            told: VecDeque::new(),
        }
    }
}

/// What a side of the fleet was told by each instance.
#[derive(Clone)]
struct Known {
    by_instance: Vec<BTreeMap<usize, Load>>,
    by_engine: Vec<Load>,
}

impl Known {
    fn new(instances: usize, engines: usize) -> Known {
        Known {
            by_instance: vec![BTreeMap::new(); instances],
            by_engine: vec![Load::default(); engines],
        }
    }

    fn set(&mut self, instance: usize, loads: &BTreeMap<usize, Load>) {
        for (&engine, &load) in &self.by_instance[instance] {
            self.by_engine[engine].remove(load);
        }
        for (&engine, &load) in loads {
            self.by_engine[engine].add(load);
        }
        self.by_instance[instance].clone_from(loads);
    }

    fn others(&self, instance: usize, engine: usize) -> Load {
        let mut others = self.by_engine[engine];
        let own = self.by_instance[instance].get(&engine);
        others.remove(own.copied().unwrap_or_default());
        others
    }
}

/// End of a request: when, at which engine, of which instance and its start, and its tokens.
type End = Reverse<(u64, usize, usize, u32, u32)>;

struct Model {
    method: Method,
    scenario: Scenario,
    settings: RoomSettings,
    instances: Vec<Instance>,
    ranks: Vec<Vec<usize>>,
    sides: [Known; 2],
    held: Vec<u64>,
    ends: BinaryHeap<End>,
    random: SmallRng,
    outcome: Outcome,
}

#[derive(Default)]
struct Outcome {
    requests: u64,
    served: u64,
    most_held: u64,
    /// Sum of the used fraction of all memory, and of how many moments.
    used: (f64, u64),
}

impl Model {
    fn new(method: Method, scenario: Scenario, instances: usize, engines: usize) -> Model {
        let rank = |engine: usize, instance: usize| {
            let place = |one: usize| rendezvous(engine as u64, &format!("i{one}"));
            let own = place(instance);
            (0..instances).filter(|one| place(*one) > own).count()
        };
        Model {
            method,
            scenario,
            settings: RoomSettings::default(),
            instances: (0..instances)
                .map(|_| Instance::new(engines, None, 0))
                .collect(),
            ranks: (0..engines)
                .map(|engine| (0..instances).map(|one| rank(engine, one)).collect())
                .collect(),
            sides: [
                Known::new(instances, engines),
                Known::new(instances, engines),
            ],
            held: vec![0; engines],
            ends: BinaryHeap::new(),
            random: SmallRng::seed_from_u64(7),
            outcome: Outcome::default(),
        }
    }

    fn is_divided(&self, now_ms: u64) -> bool {
        self.scenario == Scenario::Partition && FAULT_MS.contains(&now_ms)
    }

    fn exchange(&mut self, now_ms: u64) {
        let divided = self.is_divided(now_ms);
        let count = self.instances.len();
        for (number, instance) in self.instances.iter_mut().enumerate() {
            let offset_ms = (number as u64 * HEARTBEAT_MS / count as u64) / STEP_MS * STEP_MS;
            if now_ms % HEARTBEAT_MS == offset_ms {
                let loads = instance.own.iter().copied().enumerate();
                let loads = loads.filter(|(_, load)| *load != Load::default());
                let told = (now_ms + DELIVERED_AFTER_MS, loads.collect());
                instance.told.push_back(told);
            }
            while let Some((_, loads)) = instance.told.pop_front_if(|told| told.0 <= now_ms) {
                for (side, known) in self.sides.iter_mut().enumerate() {
                    if !divided || side == number % 2 {
                        known.set(number, &loads);
                    }
                }
            }
        }
    }

    fn end_requests(&mut self, now_ms: u64) {
        while let Some(&Reverse((end_ms, engine, instance, generation, tokens))) = self.ends.peek()
            && end_ms <= now_ms
        {
            self.ends.pop();
            self.held[engine] -= u64::from(tokens);
            let instance = &mut self.instances[instance];
            if instance.generation == generation {
                instance.own[engine].remove(load(tokens));
            }
        }
    }

    fn kill_all(&mut self, now_ms: u64) {
        let (count, engines) = (self.instances.len(), self.held.len());
        for instance in &mut self.instances {
            let generation = instance.generation + 1;
            *instance = Instance::new(engines, Some(now_ms), generation);
        }
        self.sides = [Known::new(count, engines), Known::new(count, engines)];
    }

    fn fleet(&self, number: usize, now_ms: u64) -> FleetView {
        let up_ms = |one: &Instance| one.started_ms.map_or(u64::MAX / 2, |ms| now_ms - ms);
        let is_heard = |one: &usize| !self.is_divided(now_ms) || one % 2 == number % 2;
        let peers = (0..self.instances.len()).filter(|one| *one != number);
        let heard: Vec<usize> = peers.filter(is_heard).collect();
        let others = OtherInstances {
            silent: self.instances.len() - 1 - heard.len(),
            unknown: 0,
        };
        let peers_up_ms = heard.iter().map(|one| up_ms(&self.instances[*one]));
        let own_up_ms = up_ms(&self.instances[number]);
        FleetView::new(own_up_ms, peers_up_ms, others, &self.settings)
    }

    /// Returns what is an instance's own of an engine's memory that isn't known to be taken, less
    /// what it has sent there lately.
    fn reserved_part(
        &self,
        number: usize,
        engine: usize,
        known: &EngineUse,
        fleet: &FleetView,
        now_ms: u64,
    ) -> i64 {
        let sends = self.instances[number].recent[engine].iter().rev();
        let recent = sends.take_while(|(at_ms, _)| now_ms < at_ms + TOLD_AFTER_MS);
        let recent: u64 = recent.map(|(_, tokens)| tokens).sum();
        let usable = self.settings.usable_tokens(MEMORY_TOKENS, false, fleet);
        let usable = match self.is_divided(now_ms) {
            true => usable / 2,
            false => usable,
        };
        let free = usable.saturating_sub(known.used_tokens().saturating_sub(recent));
        let part = MEMORY_TOKENS / self.settings.parts as u64;
        fixed_part(free, part, known.rank, fleet.instances) as i64 - recent as i64
    }

    fn admits(
        &self,
        number: usize,
        engine: usize,
        tokens: u32,
        fleet: &FleetView,
        now_ms: u64,
    ) -> bool {
        let instance = &self.instances[number];
        let known = EngineUse {
            rank: self.ranks[engine][number],
            memory_tokens: MEMORY_TOKENS,
            slots: SLOTS,
            counted_tokens: 0,
            own: instance.own[engine],
            others: self.sides[number % 2].others(number, engine),
        };
        let memory_tokens = u64::from(tokens);
        match self.method {
            Method::Count => {
                let usable = MEMORY_TOKENS as f64 * self.settings.usable_fraction;
                known.used_tokens() + memory_tokens <= usable as u64
            }
            Method::Parts => {
                let need = RoomNeed {
                    memory_tokens,
                    is_resumed: false,
                };
                let barrier = EngineRooms::barrier(need, &known, fleet, &self.settings);
                barrier.is_none()
            }
            Method::Reserve => {
                let left = self.reserved_part(number, engine, &known, fleet, now_ms);
                memory_tokens as i64 <= left
            }
        }
    }

    fn send(&mut self, number: usize, fleet: &FleetView, now_ms: u64) {
        let is_long = self.scenario == Scenario::Long || self.random.random_bool(0.5);
        let (tokens, took_ms) = match is_long {
            true => (9_200, self.random.random_range(600..1_500)),
            false => (880, self.random.random_range(300..700)),
        };
        let engines = self.held.len();
        let first = match self.scenario {
            Scenario::Herd => 0,
            _ => self.random.random_range(0..engines),
        };
        let mut order = (0..engines).map(|offset| (first + offset) % engines);
        self.outcome.requests += 1;
        let Some(engine) = order.find(|engine| self.admits(number, *engine, tokens, fleet, now_ms))
        else {
            return;
        };
        self.outcome.served += 1;
        let instance = &mut self.instances[number];
        instance.own[engine].add(load(tokens));
        instance.recent[engine].push_back((now_ms, u64::from(tokens)));
        let end = (
            now_ms + took_ms,
            engine,
            number,
            instance.generation,
            tokens,
        );
        self.ends.push(Reverse(end));
        self.held[engine] += u64::from(tokens);
        self.outcome.most_held = self.outcome.most_held.max(self.held[engine]);
    }

    /// Plays requests that take this fraction of the engines' memory if all are served.
    fn run(mut self, demand: f64) -> Outcome {
        let memory = MEMORY_TOKENS as f64 * self.held.len() as f64;
        // Half of the requests hold 9,200 tokens for 1,050 ms, the others 880 for 500 ms.
        let per_ms = demand * memory / (0.5 * (9_200.0 * 1_050.0 + 880.0 * 500.0));
        let per_step = per_ms * STEP_MS as f64 / self.instances.len() as f64;
        for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
            self.end_requests(now_ms);
            if self.scenario == Scenario::Kill && now_ms == FAULT_MS.start {
                self.kill_all(now_ms);
            }
            self.exchange(now_ms);
            for number in 0..self.instances.len() {
                let mut sends = per_step;
                let mut fleet = None;
                while sends > 0.0 && self.random.random_bool(sends.min(1.0)) {
                    let fleet = fleet.get_or_insert_with(|| self.fleet(number, now_ms));
                    let fleet = *fleet;
                    self.send(number, &fleet, now_ms);
                    sends -= 1.0;
                }
            }
            if now_ms >= 2_000 {
                self.outcome.used.0 += self.held.iter().sum::<u64>() as f64 / memory;
                self.outcome.used.1 += 1;
            }
        }
        self.outcome
    }
}

fn load(tokens: u32) -> Load {
    Load {
        requests: 1,
        memory_tokens: tokens,
        ..Load::default()
    }
}

const SIZES: [(usize, usize); 3] = [(7, 5), (100, 60), (300, 90)];

/// Guards against engines that crash because of what all instances together send them, and
/// against memory that can't be used.
#[test]
fn engines_hold_what_fits_at_any_size() {
    let mut table = String::new();
    let loads = [
        (Scenario::Spread, 0.1),
        (Scenario::Spread, 0.2),
        (Scenario::Spread, 0.5),
        (Scenario::Spread, 1.5),
        (Scenario::Long, 5.0),
        (Scenario::Herd, 0.5),
        (Scenario::Kill, 1.5),
        (Scenario::Partition, 1.5),
    ];
    for (instances, engines) in SIZES {
        for (scenario, demand) in loads {
            for method in [Method::Count, Method::Reserve, Method::Parts] {
                let model = Model::new(method, scenario, instances, engines);
                let outcome = model.run(demand);
                let most = outcome.most_held as f64 / MEMORY_TOKENS as f64;
                let _ = writeln!(
                    table,
                    "{instances:>3} instances, {scenario:?} {demand}, {method:?}: most held {most:.2}, \
                     used {:.2}, served {:.2}",
                    outcome.used.0 / outcome.used.1 as f64,
                    outcome.served as f64 / outcome.requests as f64,
                );
                if method == Method::Parts {
                    assert!(most <= 1.0, "{table}");
                }
            }
        }
    }
    insta::assert_snapshot!(table);
}
