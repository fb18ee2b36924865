use super::{
    engine::{Prefill, Task},
    run::{Event, PART_BLOCKS, Run},
};

/// A block that was computed less than this time ago counts as recomputed, which
/// is wasted work.
const RECOMPUTATION_WINDOW_US: u64 = 30_000_000;

/// Progress of requests at engines.
impl Run {
    /// Queues a request at the engine that it has reached.
    pub(super) fn reach_engine(&mut self, engine: usize, task: Task) {
        if !self.engines[engine].is_up {
            return self.reroute(task.id, engine);
        }
        let prefill = self.engines[engine].enqueue(task);
        self.begin_prefill(engine, prefill);
    }

    /// Records hits and recomputed blocks of a prefill and schedules its end.
    pub(super) fn begin_prefill(&mut self, engine: usize, prefill: Option<Prefill>) {
        let Some(prefill) = prefill else { return };
        let chain = &prefill.task.chain;
        let is_recent = |b: &&u64| {
            let computed_us = self.computed.get(b);
            computed_us.is_some_and(|us| self.now_us - us < RECOMPUTATION_WINDOW_US)
        };
        let available_blocks = prefill.hit_blocks + prefill.task.import_blocks;
        let recomputed = chain
            .iter()
            .skip(available_blocks)
            .filter(is_recent)
            .count();
        let outcome = &mut self.outcomes[prefill.task.id as usize];
        outcome.hit_blocks = prefill.hit_blocks;
        outcome.recomputed_blocks = recomputed;
        let event = Event::Prefilled {
            engine,
            incarnation: self.engines[engine].incarnation,
            task: prefill.task,
        };
        self.schedule(self.now_us + prefill.takes_us, event);
    }

    /// Ends a prefill: records the first token and schedules the end of the
    /// answer. A part whose last block had been computed before goes to the KV
    /// cache store.
    pub(super) fn prefilled(&mut self, engine: usize, incarnation: u64, task: &Task) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        for (depth, block) in task.chain.iter().enumerate() {
            let is_recomputed = self.computed.insert(*block, self.now_us).is_some();
            if is_recomputed && (depth + 1) % PART_BLOCKS == 0 {
                self.cache_store.insert(*block);
            }
        }
        let (next, answer_us) = self.engines[engine].prefilled(task);
        self.begin_prefill(engine, next);
        let ended = Event::Ended {
            engine,
            incarnation,
            id: task.id,
        };
        self.schedule(self.now_us + answer_us, ended);
        let at = task.id as usize;
        if self.request_states[at].assigned_to != Some((engine, incarnation)) {
            return;
        }
        let request = &self.requests[at];
        let back_us = self.distance_us(request.instance, engine);
        let first_token_us = self.now_us + back_us - request.at_us;
        let outcome = &mut self.outcomes[at];
        outcome.first_token_us.get_or_insert(first_token_us);
        let (instance, now_ms) = (request.instance, self.now_ms());
        self.instances[instance].first_token(task.id, now_ms);
    }

    /// Ends an answer and frees its slot.
    pub(super) fn ended(&mut self, engine: usize, incarnation: u64, id: u64) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        let next = self.engines[engine].ended();
        self.begin_prefill(engine, next);
        if self.request_states[id as usize].assigned_to != Some((engine, incarnation)) {
            return;
        }
        self.request_states[id as usize].is_finished = true;
        let cached = self.outcomes[id as usize].hit_blocks;
        self.release(id, engine, Some(cached));
    }

    /// Reports to the instance that a request has ended at an engine; `cached_blocks`
    /// is `None` if it did not complete.
    pub(super) fn release(&mut self, id: u64, engine: usize, cached_blocks: Option<usize>) {
        self.request_states[id as usize].assigned_to = None;
        let instance = self.requests[id as usize].instance;
        let now_ms = self.now_ms();
        let actions = self.instances[instance].ended(id, engine, cached_blocks, now_ms);
        self.act(actions);
    }
}
