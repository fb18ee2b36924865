//! Tests of rollouts with engine crashes, refused loads, bad versions and changes
//! of the lease holder.

use {
    mangowalk_core::{
        engine::OrderReply,
        rollout::{Action, EngineSnapshot, Plan, Rollout, RolloutSettings},
    },
    proptest::prelude::*,
};

const STEP_MS: u64 = 500;
const LOAD_MS: u64 = 1_500;
const OLD: &str = "v1";

/// Versions: `v2` and `v3` are good, `refused` can't be loaded, `mute` loads
/// and never answers.
const VERSIONS: [&str; 4] = ["v2", "v3", "refused", "mute"];

#[derive(Debug, Clone)]
enum Op {
    Wait { steps: u8 },
    SetTarget { version: usize },
    Crash { engine: usize },
    Start { engine: usize },
    Busy { engine: usize, open: u32 },
    Depart { engine: usize },
    NewHolder,
    LoseReply,
}

fn op() -> impl Strategy<Value = Op> {
    let engine = 0..12_usize;
    prop_oneof![
        8 => (1..12_u8).prop_map(|steps| Op::Wait { steps }),
        2 => (0..VERSIONS.len()).prop_map(|version| Op::SetTarget { version }),
        1 => engine.clone().prop_map(|engine| Op::Crash { engine }),
        2 => engine.clone().prop_map(|engine| Op::Start { engine }),
        1 => (engine.clone(), 0..3_u32).prop_map(|(engine, open)| Op::Busy { engine, open }),
        1 => engine.prop_map(|engine| Op::Depart { engine }),
        1 => Just(Op::NewHolder),
        1 => Just(Op::LoseReply),
    ]
}

#[derive(Debug, Clone)]
struct Engine {
    name: String,
    version: String,
    alive: bool,
    incarnation: u64,
    load: Option<(String, u64)>,
    open: u32,
    drained: bool,
    departing: bool,
}

impl Engine {
    fn snapshot(&self) -> EngineSnapshot<'_> {
        EngineSnapshot {
            name: &self.name,
            version: self.alive.then_some(self.version.as_str()),
            incarnation: self.incarnation,
            loading: self.alive && self.load.is_some(),
            open_requests: self.open,
            checks_fencing: true,
            drained: self.drained,
            departing: self.departing,
        }
    }
}

struct Simulation {
    engines: Vec<Engine>,
    rollout: Rollout,
    target: String,
    now_ms: u64,
    lose_reply: bool,
}

impl Simulation {
    fn of(size: usize) -> Simulation {
        let engine = |i: usize| Engine {
            name: format!("engine-{i}"),
            version: OLD.to_owned(),
            alive: true,
            incarnation: 1,
            load: None,
            open: 0,
            drained: false,
            departing: false,
        };
        Simulation {
            engines: (0..size).map(engine).collect(),
            rollout: Rollout::resume(RolloutSettings::default(), Plan::default(), 0),
            target: OLD.to_owned(),
            now_ms: 0,
            lose_reply: false,
        }
    }

    fn apply(&mut self, op: &Op) -> Result<(), TestCaseError> {
        let size = self.engines.len();
        match *op {
            Op::Wait { steps } => (0..steps).try_for_each(|_| self.step())?,
            Op::SetTarget { version } => self.target = VERSIONS[version].to_owned(),
            Op::Crash { engine } => {
                let engine = &mut self.engines[engine % size];
                engine.alive = false;
                engine.load = None;
            }
            Op::Start { engine } => self.start(engine % size),
            Op::Busy { engine, open } => self.engines[engine % size].open = open,
            Op::Depart { engine } => {
                let staying = self.engines.iter().filter(|e| !e.departing).count();
                if staying > 2 {
                    self.engines[engine % size].departing = true;
                }
            }
            Op::NewHolder => {
                let plan = self.rollout.plan().clone();
                self.rollout = Rollout::resume(RolloutSettings::default(), plan, self.now_ms);
            }
            Op::LoseReply => self.lose_reply = true,
        }
        Ok(())
    }

    /// Restarts a dead engine with the version that it was set up with.
    fn start(&mut self, engine: usize) {
        let engine = &mut self.engines[engine];
        if !engine.alive {
            engine.alive = true;
            engine.version = OLD.to_owned();
            engine.incarnation += 1;
        }
    }

    fn step(&mut self) -> Result<(), TestCaseError> {
        self.now_ms += STEP_MS;
        for engine in &mut self.engines {
            if let Some((version, _)) = engine.load.take_if(|(_, at_ms)| *at_ms <= self.now_ms) {
                engine.version = version;
            }
        }
        let engines = self.engines.clone();
        let snapshot: Vec<EngineSnapshot<'_>> = engines.iter().map(Engine::snapshot).collect();
        self.rollout.set_target(&self.target, 2, &snapshot);
        for action in self.rollout.decide(&snapshot, self.now_ms) {
            self.act(&action)?;
        }
        let loading = self.engines.iter().filter(|e| e.load.is_some()).count();
        prop_assert!(loading <= 2, "{loading} engines load at once");
        Ok(())
    }

    fn act(&mut self, action: &Action<'_>) -> Result<(), TestCaseError> {
        let now_ms = self.now_ms;
        match action {
            Action::Drain { engine } => {
                let serving = self.serving();
                self.engine(engine).drained = true;
                let total = self.engines.iter().filter(|e| !e.departing).count();
                let floor = (total - (total / 4).max(1)).max(1);
                let left = self.serving();
                prop_assert!(left == serving || left >= floor, "{left} of {total} left");
            }
            Action::Undrain { engine } => {
                let mute = "mute".to_owned();
                let engine = self.engine(engine);
                engine.drained = false;
                prop_assert!(!engine.alive || engine.departing || engine.version != mute);
            }
            Action::Order { engine, version } => self.order(engine, version),
            Action::Probe { engine, version } => {
                let ok = *version != "mute" && self.engine(engine).alive;
                let incarnation = self.engine(engine).incarnation;
                self.rollout
                    .record_probe(engine, incarnation, version, ok, now_ms);
            }
        }
        Ok(())
    }

    fn order(&mut self, name: &str, version: &str) {
        let now_ms = self.now_ms;
        let lost = std::mem::take(&mut self.lose_reply);
        let engine = self.engine(name);
        let reply = if version == "refused" {
            OrderReply::Refused {
                reason: "no such weights".to_owned(),
            }
        } else {
            engine.load = Some((version.to_owned(), now_ms + LOAD_MS));
            OrderReply::Accepted
        };
        let reply = Some(reply).filter(|_| !lost);
        self.rollout
            .record_order_reply(name, version, reply.as_ref(), now_ms);
    }

    fn engine(&mut self, name: &str) -> &mut Engine {
        let found = self.engines.iter_mut().find(|e| e.name == name);
        found.expect("an engine of this simulation")
    }

    fn serving(&self) -> usize {
        self.engines
            .iter()
            .filter(|e| e.snapshot().serves())
            .count()
    }

    /// Runs the rollout to its end without further faults.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        for i in 0..self.engines.len() {
            self.start(i);
            self.engines[i].open = 0;
        }
        (0..600).try_for_each(|_| self.step())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: ProptestConfig::default().cases.max(1_000), ..ProptestConfig::default() })]

    /// Guards against losing capacity during a rollout and against engines that
    /// stay drained. Draining never leaves fewer engines than the minimum; no
    /// engine is undrained with a version that does not answer; and in the end
    /// every engine serves again, with the new version or, if the rollout
    /// stopped, with one that works.
    #[test]
    fn a_rollout_keeps_capacity_and_ends(
        size in 2..13_usize,
        ops in prop::collection::vec(op(), 1..30),
    ) {
        let mut simulation = Simulation::of(size);
        for op in &ops {
            simulation.apply(op)?;
        }
        simulation.settle()?;
        let plan = simulation.rollout.plan();
        for engine in simulation.engines.iter().filter(|e| !e.departing) {
            prop_assert!(!engine.drained, "{} stays out: {plan:?}", engine.name);
            if plan.failure.is_none() {
                prop_assert_eq!(&engine.version, &simulation.target);
            } else {
                prop_assert!(engine.version != "mute" && engine.version != "refused");
            }
        }
    }
}

/// In a fleet of one engine, draining it would leave no engine for callers.
#[test]
fn the_last_engine_is_never_drained() {
    let mut simulation = Simulation::of(1);
    simulation.target = "v2".to_owned();
    (0..100).for_each(|_| simulation.step().expect("the step succeeds"));
    assert_eq!(simulation.serving(), 1);
    assert_eq!(simulation.engines[0].version, OLD);
}

/// Two engines die while they are drained, which is the maximum that may be
/// drained. The rollout of the others must not wait for them.
#[test]
fn dead_engines_do_not_block_the_rollout() {
    let mut simulation = Simulation::of(12);
    simulation.target = "v2".to_owned();
    while simulation.engines.iter().filter(|e| e.drained).count() < 2 {
        simulation.step().expect("the step succeeds");
    }
    for engine in simulation.engines.iter_mut().filter(|e| e.drained) {
        engine.alive = false;
        engine.load = None;
    }
    (0..400).for_each(|_| simulation.step().expect("the step succeeds"));
    let new = simulation
        .engines
        .iter()
        .filter(|e| e.version == "v2")
        .count();
    assert_eq!((new, simulation.serving()), (10, 10));
}
