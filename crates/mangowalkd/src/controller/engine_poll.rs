use {
    super::Controller,
    crate::shared_state::SharedState,
    mangowalk_core::{
        config::EngineRecord,
        edge::{Clock, Edges, Engines},
    },
    std::marker::PhantomData,
};

/// Pause between two rounds of polls.
const PERIOD_MS: u64 = 250;

/// Engines polled per round in a small fleet, where an instance knows the current
/// state of every engine. At the maximum size each engine is polled once per
/// second.
const POLLS_PER_ROUND_SMALL_FLEET: usize = 8;

/// Maximum number of engines in a small fleet. An instance may use 4 KB per
/// second for all its control traffic, and one report takes about 400 bytes.
const MAX_SMALL_FLEET_ENGINES: usize = 32;

/// Engines polled per round in a larger fleet. Reports are minutes old there.
/// More recent state comes from the instance's own attempts, and an engine that
/// has restarted refuses them as not run.
const POLLS_PER_ROUND_LARGE_FLEET: usize = 1;

/// Engines polled per round while some have not been polled yet. Otherwise a
/// starting instance would refuse callers until it had polled every engine.
const POLLS_PER_ROUND_AT_START: usize = 64;

/// Polls the state of engines, a few in each round.
pub struct EnginePoll<E> {
    next: usize,
    edges: PhantomData<fn() -> E>,
}

impl<E> Default for EnginePoll<E> {
    fn default() -> EnginePoll<E> {
        EnginePoll {
            next: 0,
            edges: PhantomData,
        }
    }
}

impl<E: Edges> Controller for EnginePoll<E> {
    type Edges = E;

    const NAME: &'static str = "engines";

    fn step(&mut self, edges: &E, shared: &SharedState, _now_ms: u64) -> u64 {
        let view = shared.config.view();
        shared
            .engines
            .retain(|name| view.engines.contains_key(name));
        shared
            .upstreams
            .retain(|name| view.engines.contains_key(name));
        shared
            .dispatch
            .set_instances(shared.peers.reachable().len() as u32 + 1);
        shared.apply_engines(&view);
        let engines: Vec<&EngineRecord> = view.engines.values().collect();
        let unseen: Vec<&EngineRecord> = shared.engines.read(|known| {
            let never = |e: &&EngineRecord| known.get(&e.name).is_none_or(|s| s.polled_ms == 0);
            let unseen = engines.iter().copied().filter(never);
            unseen.take(POLLS_PER_ROUND_AT_START).collect()
        });
        if !unseen.is_empty() {
            unseen.iter().for_each(|engine| poll(edges, shared, engine));
            return 0;
        }
        let polls = if engines.len() <= MAX_SMALL_FLEET_ENGINES {
            POLLS_PER_ROUND_SMALL_FLEET.min(engines.len())
        } else {
            POLLS_PER_ROUND_LARGE_FLEET
        };
        for _ in 0..polls {
            self.next = (self.next + 1) % engines.len();
            poll(edges, shared, engines[self.next]);
        }
        PERIOD_MS
    }
}

fn poll<E: Edges>(edges: &E, shared: &SharedState, engine: &EngineRecord) {
    let state = edges.engines().state(engine.address).ok();
    let polled_ms = edges.clock().now_ms().max(1);
    shared
        .dispatch
        .report(&engine.name, state.as_ref(), polled_ms);
    shared.engines.update(&engine.name, |known| {
        known.state = state;
        known.polled_ms = polled_ms;
    });
}
