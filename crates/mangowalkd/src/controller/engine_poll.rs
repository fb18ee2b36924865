use {
    super::Controller,
    crate::board::Board,
    mangowalk_core::edge::{Clock, Edges, Engines},
    std::marker::PhantomData,
};

/// Pause between two rounds.
const PERIOD_MS: u64 = 250;

/// Engines asked in one round. A node's share stays the same however many
/// engines there are; what it does not ask it learns from its own answers.
const ASKED_A_ROUND: usize = 8;

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

    fn step(&mut self, edges: &E, board: &Board, _now_ms: u64) -> u64 {
        let view = board.config.view();
        board.engines.retain(|name| view.engines.contains_key(name));
        board
            .dispatch
            .set_instances(board.peers.sights().len() as u32 + 1);
        board.take_engines(&view);
        let engines: Vec<_> = view.engines.values().collect();
        for _ in 0..engines.len().min(ASKED_A_ROUND) {
            self.next = (self.next + 1) % engines.len();
            let engine = engines[self.next];
            let state = edges.engines().state(engine.address).ok();
            let seen_ms = edges.clock().now_ms();
            board.dispatch.report(&engine.name, state.as_ref(), seen_ms);
            board.engines.update(&engine.name, |sight| {
                sight.state = state;
                sight.seen_ms = seen_ms;
            });
        }
        PERIOD_MS
    }
}
