use {
    super::Controller,
    crate::shared_state::SharedState,
    mangowalk_core::{
        config::EngineRecord,
        edge::{Clock, Edges, Engines},
    },
    std::marker::PhantomData,
};

/// Pause between two rounds.
const PERIOD_MS: u64 = 250;

/// Engines asked in one round of a fleet that is small enough to be known in
/// full: each is asked once a second.
const ASKED_OF_FEW: usize = 8;

/// Engines up to which a fleet counts as small. An instance may spend 4 KB a
/// second on all its control, and one report takes about 400 bytes.
const FEW_ENGINES: usize = 32;

/// Engines asked in one round of a larger fleet. Reports are minutes old there;
/// what an instance needs sooner it learns from its own attempts, and an
/// engine that is another one by now refuses them as not run.
const ASKED_OF_MANY: usize = 1;

/// Engines asked in one round while some were never asked. An instance that
/// starts would otherwise refuse callers until it had come to every engine.
const ASKED_AT_START: usize = 64;

/// Reads what engines serve, a few in each round.
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

    fn step(&mut self, edges: &E, board: &SharedState, _now_ms: u64) -> u64 {
        let view = board.config.view();
        board.engines.retain(|name| view.engines.contains_key(name));
        board
            .upstreams
            .retain(|name| view.engines.contains_key(name));
        board
            .dispatch
            .set_instances(board.peers.reachable().len() as u32 + 1);
        board.apply_engines(&view);
        let engines: Vec<&EngineRecord> = view.engines.values().collect();
        let unseen: Vec<&EngineRecord> = board.engines.read(|sights| {
            let never = |e: &&EngineRecord| sights.get(&e.name).is_none_or(|s| s.seen_ms == 0);
            let unseen = engines.iter().copied().filter(never);
            unseen.take(ASKED_AT_START).collect()
        });
        if !unseen.is_empty() {
            unseen.iter().for_each(|engine| ask(edges, board, engine));
            return 0;
        }
        let asked = if engines.len() <= FEW_ENGINES {
            ASKED_OF_FEW.min(engines.len())
        } else {
            ASKED_OF_MANY
        };
        for _ in 0..asked {
            self.next = (self.next + 1) % engines.len();
            ask(edges, board, engines[self.next]);
        }
        PERIOD_MS
    }
}

fn ask<E: Edges>(edges: &E, board: &SharedState, engine: &EngineRecord) {
    let state = edges.engines().state(engine.address).ok();
    let seen_ms = edges.clock().now_ms().max(1);
    board.dispatch.report(&engine.name, state.as_ref(), seen_ms);
    board.engines.update(&engine.name, |sight| {
        sight.state = state;
        sight.seen_ms = seen_ms;
    });
}
