//! Choice among the engines of a service without a model, by many instances that know each
//! other's work 200 ms late.

use {
    mangowalk_core::{
        capacity::{PaceReport, PaceSettings},
        pool::{
            ChoiceSettings, EngineEntry, EngineRequirements, Incarnation, KnownEngine, Load, choose,
        },
        weights::VersionBounds,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::VecDeque, fmt::Write},
};

const ENGINES: usize = 3;
const SLOTS: u32 = 6;
const QUEUE: usize = 24;
const WORK_MS: u64 = 60;
const TARGET_MS: u64 = 300;
const REQUESTS_PER_S: f64 = 123.0;

/// Interval at which loads are recorded, and how many of them ago the loads were that peers know:
/// 200 ms.
const TELL_INTERVAL_MS: u64 = 20;
const TOLD_AFTER: usize = 10;

/// Time until the report of a pace arrives at all peers.
const REPORT_MS: u64 = 20;

/// Times between which the first engine runs at a third of its speed.
const SLOW_MS: std::ops::Range<u64> = 10_000..20_000;
const LAST_REQUEST_MS: u64 = 19_000;
const END_MS: u64 = 20_000;

fn entry(number: usize) -> EngineEntry {
    EngineEntry {
        incarnation: Incarnation {
            id: format!("e{number}"),
            born_ms: 1,
        },
        revision: 1,
        service: "box".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "a".to_owned(),
        slots: SLOTS,
        draining: false,
        models: Vec::new(),
        cold_left_ms: 0,
        software: String::new(),
    }
}

#[derive(Default)]
struct Engine {
    waiting: VecDeque<(usize, u64)>,
    /// End, instance and arrival of each running request.
    running: Vec<(u64, usize, u64)>,
}

/// What callers got.
#[derive(Debug, Default, Clone, Copy)]
struct Shares {
    requests: f64,
    rejected: f64,
    on_time: f64,
}

impl Shares {
    fn add(&mut self, other: Shares) {
        self.requests += other.requests;
        self.rejected += other.rejected;
        self.on_time += other.on_time;
    }

    fn rejected(&self) -> f64 {
        self.rejected / self.requests
    }

    fn on_time(&self) -> f64 {
        self.on_time / self.requests
    }
}

struct Fleet {
    known: Vec<Vec<KnownEngine>>,
    engines: Vec<Engine>,
    tells_pace: bool,
    told_loads: VecDeque<Vec<Vec<Load>>>,
    reports: VecDeque<(u64, PaceReport)>,
    reports_sent: usize,
    /// While all engines run as usual, and while one is slow.
    shares: [Shares; 2],
}

impl Fleet {
    fn new(instances: usize, tells_pace: bool) -> Fleet {
        let engines = || (0..ENGINES).map(|number| KnownEngine::new(entry(number)));
        Fleet {
            known: (0..instances).map(|_| engines().collect()).collect(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            tells_pace,
            told_loads: VecDeque::new(),
            reports: VecDeque::new(),
            reports_sent: 0,
            shares: [Shares::default(); 2],
        }
    }

    fn pace_percent(engine: usize, now_ms: u64) -> u64 {
        if engine == 0 && SLOW_MS.contains(&now_ms) {
            300
        } else {
            100
        }
    }

    fn send(&mut self, now_ms: u64, random: &mut SmallRng) {
        let instance = random.random_range(0..self.known.len());
        let requirements = EngineRequirements {
            service: "box".to_owned(),
            model: None,
            memory_tokens: 0,
            prompt_tokens: 0,
            parts: Vec::new(),
            isolation_salt: 0,
            domain: "a".to_owned(),
        };
        let known = self.known[instance].iter();
        let chosen = choose(
            known.clone(),
            &requirements,
            VersionBounds::default(),
            u64::MAX,
            &ChoiceSettings::default(),
            random.random(),
            now_ms,
        );
        let chosen = chosen.expect("all engines accept work");
        let mut known = self.known[instance].iter();
        let chosen = known.position(|engine| std::ptr::eq(engine, chosen));
        let chosen = chosen.expect("it is one of them");
        let shares = &mut self.shares[usize::from(SLOW_MS.contains(&now_ms))];
        shares.requests += 1.0;
        let engine = &mut self.engines[chosen];
        if engine.waiting.len() >= QUEUE {
            shares.rejected += 1.0;
            return;
        }
        engine.waiting.push_back((instance, now_ms));
        self.known[instance][chosen].own.requests += 1;
    }

    /// Ends what is complete, and starts what waits.
    fn run_engines(&mut self, now_ms: u64) {
        for number in 0..ENGINES {
            let pace_percent = Fleet::pace_percent(number, now_ms);
            let engine = &mut self.engines[number];
            let mut ended = Vec::new();
            engine.running.retain(|&(end_ms, instance, arrived_ms)| {
                if end_ms <= now_ms {
                    ended.push((instance, arrived_ms));
                }
                end_ms > now_ms
            });
            while engine.running.len() < SLOTS as usize {
                let Some((instance, arrived_ms)) = engine.waiting.pop_front() else {
                    break;
                };
                let end_ms = now_ms + WORK_MS * pace_percent / 100;
                engine.running.push((end_ms, instance, arrived_ms));
            }
            for (instance, arrived_ms) in ended {
                self.known[instance][number].own.requests -= 1;
                let shares = &mut self.shares[usize::from(SLOW_MS.contains(&arrived_ms))];
                shares.on_time += f64::from(u8::from(now_ms - arrived_ms <= TARGET_MS));
                self.record_pace(instance, number, pace_percent as u32, now_ms);
            }
        }
    }

    fn record_pace(&mut self, instance: usize, engine: usize, pace_percent: u32, now_ms: u64) {
        if !self.tells_pace {
            return;
        }
        let known = &mut self.known[instance][engine];
        let settings = PaceSettings::default();
        let Some(pace_percent) = known.pace.record(pace_percent, &settings, now_ms) else {
            return;
        };
        let report = PaceReport {
            start: engine as u32,
            pace_percent,
            age_ms: 0,
        };
        self.reports_sent += 1;
        self.reports.push_back((now_ms + REPORT_MS, report));
    }

    fn deliver(&mut self, now_ms: u64) {
        while let Some((_, report)) = self.reports.front().filter(|(at_ms, _)| *at_ms <= now_ms) {
            for known in &mut self.known {
                let pace = &mut known[report.start as usize].pace;
                pace.apply_report(report, &PaceSettings::default(), now_ms);
            }
            self.reports.pop_front();
        }
        if !now_ms.is_multiple_of(TELL_INTERVAL_MS) {
            return;
        }
        let own = |known: &Vec<KnownEngine>| known.iter().map(|engine| engine.own).collect();
        self.told_loads
            .push_back(self.known.iter().map(own).collect());
        if self.told_loads.len() <= TOLD_AFTER {
            return;
        }
        let Some(told) = self.told_loads.pop_front() else {
            return;
        };
        for engine in 0..ENGINES {
            let all: u32 = told.iter().map(|loads| loads[engine].requests).sum();
            for (known, loads) in self.known.iter_mut().zip(&told) {
                known[engine].others.requests = all - loads[engine].requests;
            }
        }
    }
}

fn play(instances: usize, tells_pace: bool, load_factor: f64, seed: u64) -> Fleet {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(instances, tells_pace);
    for now_ms in 0..END_MS {
        fleet.run_engines(now_ms);
        fleet.deliver(now_ms);
        if now_ms < LAST_REQUEST_MS && random.random_bool(REQUESTS_PER_S * load_factor / 1_000.0) {
            fleet.send(now_ms, &mut random);
        }
    }
    fleet
}

/// Returns the shares over several seeds, as usual and with a slow engine.
fn shares(instances: usize, tells_pace: bool, load_factor: f64) -> [Shares; 2] {
    let mut shares = [Shares::default(); 2];
    for seed in 0..4 {
        let fleet = play(instances, tells_pace, load_factor, seed);
        for (shares, of_seed) in shares.iter_mut().zip(fleet.shares) {
            shares.add(of_seed);
        }
    }
    shares
}

/// Guards against instances that all send to the engine that was least loaded a heartbeat ago,
/// and to one that has become slow. The choice for engines that tell no pace is the one to
/// compare with.
#[test]
fn engines_that_tell_their_pace_serve_no_fewer_requests_on_time() {
    let mut table = String::new();
    for load_factor in [1.0, 1.6] {
        for instances in [1, 3, 7, 89, 300] {
            let untold = shares(instances, false, load_factor);
            let told = shares(instances, true, load_factor);
            for (state, (untold, told)) in ["usual", "slow"].iter().zip(untold.iter().zip(&told)) {
                let _ = writeln!(
                    table,
                    "load {:2.0} % instances {instances:3} {state:5}: rejected {:.3} -> {:.3}, on time {:.3} -> {:.3}",
                    41.0 * load_factor,
                    untold.rejected(),
                    told.rejected(),
                    untold.on_time(),
                    told.on_time(),
                );
                assert!(told.rejected() <= untold.rejected(), "{table}");
                assert!(told.on_time() >= untold.on_time(), "{table}");
            }
        }
    }
    insta::assert_snapshot!(table);
}

/// Guards against reports that grow with the number of instances: a peer's report makes those of
/// others needless.
#[test]
fn the_number_of_reports_does_not_grow_with_the_instances() {
    let few = play(7, true, 1.0, 1).reports_sent;
    let many = play(300, true, 1.0, 1).reports_sent;
    assert!(few > 0 && many <= 2 * few, "{few} {many}");
}
