//! A model of engines that fall over when they have to reject too much, under more load
//! than they can serve, at fleets of several sizes.

use {
    mangowalk_core::{
        brittle::{BrittleEngines, BrittleSettings},
        pool::{EngineEntry, Incarnation, KnownEngine, Load, rendezvous},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
};

const SLOTS: u32 = 6;
const SERVICE_MS: u64 = 50;
const STEP_MS: u64 = 10;
const DURATION_MS: u64 = 4_000;
const DOWN_MS: u64 = 2_000;
const REJECTIONS_PER_S: u32 = 8;
/// Offered load, as a multiple of what the engines can serve.
const OVERLOAD: f64 = 1.5;

/// An engine of the model. It lets no request wait.
#[derive(Default)]
struct Engine {
    /// Ends of the running requests, with the instances that sent them.
    running: Vec<(u64, usize)>,
    rejected_ms: Vec<u64>,
    down_until_ms: u64,
    falls: usize,
}

impl Engine {
    /// Takes a request of an instance, or rejects it.
    fn take(&mut self, instance: usize, now_ms: u64) -> bool {
        if now_ms < self.down_until_ms {
            return true;
        }
        if (self.running.len() as u32) < SLOTS {
            self.running.push((now_ms + SERVICE_MS, instance));
            return true;
        }
        self.rejected_ms.retain(|at_ms| now_ms < at_ms + 1_000);
        self.rejected_ms.push(now_ms);
        if self.rejected_ms.len() as u32 > REJECTIONS_PER_S {
            self.falls += 1;
            self.down_until_ms = now_ms + DOWN_MS;
            self.running.clear();
            self.rejected_ms.clear();
        }
        false
    }

    fn requests_of(&self, instance: usize) -> u32 {
        let own = self.running.iter().filter(|(_, by)| *by == instance);
        own.count() as u32
    }
}

struct Instance {
    brittle: BrittleEngines,
    engines: Vec<KnownEngine>,
}

fn entry(number: usize) -> EngineEntry {
    EngineEntry {
        incarnation: Incarnation {
            id: format!("e{number}"),
            born_ms: 0,
        },
        revision: 1,
        service: "desk".to_owned(),
        software: "v1".to_owned(),
        address: "127.0.0.1:80".parse().expect("an address"),
        domain: "a".to_owned(),
        slots: SLOTS,
        draining: false,
        models: Vec::new(),
        cold_left_ms: 0,
    }
}

/// What happened in a run.
#[derive(Debug, Default)]
struct Outcome {
    falls: usize,
    served: usize,
    offered: usize,
}

/// Plays a fleet before overloaded engines, of whose loads each instance hears every
/// `report_ms`.
fn play(
    instances: usize,
    engines: usize,
    report_ms: u64,
    settings: Option<BrittleSettings>,
) -> Outcome {
    let mut random = SmallRng::seed_from_u64(instances as u64);
    let mut fleet: Vec<Engine> = (0..engines).map(|_| Engine::default()).collect();
    let mut known: Vec<Instance> = (0..instances)
        .map(|_| Instance {
            brittle: BrittleEngines::default(),
            engines: (0..engines).map(|n| KnownEngine::new(entry(n))).collect(),
        })
        .collect();
    let per_step =
        OVERLOAD * (engines as u64 * u64::from(SLOTS) * STEP_MS) as f64 / SERVICE_MS as f64;
    let mut outcome = Outcome::default();
    let mut due = 0.0;
    for now_ms in (0..DURATION_MS).step_by(STEP_MS as usize) {
        for engine in &mut fleet {
            engine.running.retain(|(end_ms, _)| now_ms < *end_ms);
        }
        if now_ms % report_ms == 0 {
            report(&fleet, &mut known);
            // Each answer of an engine says that the service is brittle.
            if let Some(settings) = &settings {
                for instance in &mut known {
                    let brittle = &mut instance.brittle;
                    brittle.record_warning("desk", REJECTIONS_PER_S, settings, now_ms);
                }
            }
        }
        due += per_step;
        while due >= 1.0 {
            due -= 1.0;
            let instance = random.random_range(0..instances);
            outcome.offered += 1;
            let sent = send(
                &mut fleet,
                &mut known[instance],
                instance,
                instances,
                settings.as_ref(),
                &mut random,
                now_ms,
            );
            outcome.served += usize::from(sent);
        }
    }
    outcome.falls = fleet.iter().map(|engine| engine.falls).sum();
    outcome
}

/// Tells each instance what all others have at each engine.
fn report(fleet: &[Engine], known: &mut [Instance]) {
    for (number, instance) in known.iter_mut().enumerate() {
        for (engine, known) in fleet.iter().zip(&mut instance.engines) {
            let others = engine.running.len() as u32 - engine.requests_of(number);
            known.others = Load {
                requests: others,
                ..Load::default()
            };
        }
    }
}

/// Sends one request as an instance would: to up to three engines of those that it may
/// use, the least loaded of two drawn ones first.
fn send(
    fleet: &mut [Engine],
    known: &mut Instance,
    instance: usize,
    instances: usize,
    settings: Option<&BrittleSettings>,
    random: &mut SmallRng,
    now_ms: u64,
) -> bool {
    let mut tried = Vec::new();
    for _ in 0..3 {
        for (engine, known) in fleet.iter().zip(&mut known.engines) {
            known.own.requests = engine.requests_of(instance);
        }
        let usable: Vec<usize> = (0..fleet.len())
            .filter(|engine| !tried.contains(engine) && now_ms >= fleet[*engine].down_until_ms)
            .filter(|engine| {
                let known_engine = &known.engines[*engine];
                settings.is_none_or(|settings| {
                    let rank = || rank(*engine, instance, instances);
                    let brittle = &mut known.brittle;
                    brittle.admits(known_engine, instances, settings, rank, now_ms)
                })
            })
            .collect();
        let drawn: Vec<usize> = usable.choose_multiple(random, 2).copied().collect();
        let least = drawn
            .into_iter()
            .min_by_key(|engine| known.engines[*engine].load().requests);
        let Some(engine) = least else {
            return false;
        };
        let is_taken = fleet[engine].take(instance, now_ms);
        if is_taken {
            return true;
        }
        tried.push(engine);
        let Some(settings) = settings else {
            continue;
        };
        known
            .brittle
            .record_rejection(&known.engines[engine], instances, settings, now_ms);
    }
    false
}

/// Returns the place of an instance in the order of all at an engine.
fn rank(engine: usize, instance: usize, instances: usize) -> usize {
    let hash = |instance: usize| rendezvous(engine as u64, &format!("m{instance}"));
    let own = hash(instance);
    (0..instances).filter(|other| hash(*other) > own).count()
}

/// Guards against instances that together make brittle engines fall over, or that leave
/// them idle for fear of it.
#[test]
fn brittle_engines_stand_at_fleets_of_all_sizes() {
    for (instances, engines, report_ms) in [(6, 12, 200), (100, 40, 400), (300, 60, 800)] {
        let spared = play(
            instances,
            engines,
            report_ms,
            Some(BrittleSettings::default()),
        );
        let allowed = 2 + engines / 10;
        assert!(
            spared.falls <= allowed,
            "{instances} instances: {spared:?}, {allowed} falls allowed"
        );
        // A third of what the engines could serve must still be served.
        let capacity = spared.offered as f64 / OVERLOAD;
        assert!(
            spared.served as f64 >= capacity / 3.0,
            "{instances} instances: {spared:?}"
        );
        let unspared = play(instances, engines, report_ms, None);
        assert!(
            unspared.falls > allowed,
            "the load breaks no engine at {instances} instances: {unspared:?}"
        );
    }
}
