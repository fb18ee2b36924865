use {
    super::Controller,
    crate::shared_state::SharedState,
    mangowalk_core::edge::{Edges, Engines},
    std::marker::PhantomData,
};

/// Pause between two rounds of reads.
const PERIOD_MS: u64 = 200;

/// Engines read in one round.
const ENGINES_PER_ROUND: usize = 8;

/// Reads cache events from engines while the fleet is small enough for one
/// instance to store every block.
///
/// In a larger fleet no events are read: 1.2 million events per second over
/// 350 instances are 3,400 per instance, even if each event is read only once.
pub struct CacheEventReader<E> {
    next: usize,
    edges: PhantomData<fn() -> E>,
}

impl<E> Default for CacheEventReader<E> {
    fn default() -> CacheEventReader<E> {
        CacheEventReader {
            next: 0,
            edges: PhantomData,
        }
    }
}

impl<E: Edges> Controller for CacheEventReader<E> {
    type Edges = E;

    const NAME: &'static str = "cache";

    fn step(&mut self, edges: &E, shared: &SharedState, _now_ms: u64) -> u64 {
        let view = shared.config.view();
        let engines: Vec<_> = view.engines.values().collect();
        for _ in 0..engines.len().min(ENGINES_PER_ROUND) {
            self.next = (self.next + 1) % engines.len();
            let engine = engines[self.next];
            let from = shared
                .dispatch
                .read(|p| p.next_event_sequence(&engine.name));
            let Some(from) = from else { continue };
            if let Ok(events) = edges.engines().cache_events(engine.address, from) {
                shared.dispatch.cache_events(&engine.name, &events);
            }
        }
        PERIOD_MS
    }
}
