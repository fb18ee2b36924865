use super::{
    engine::{Prefill, Task},
    run::{Event, PIECE_BLOCKS, Run},
};

/// Time within which a block that is computed again counts as wasted.
const RECOMPUTED_US: u64 = 30_000_000;

/// What engines do with requests.
impl Run {
    pub(super) fn reach(&mut self, engine: usize, task: Task) {
        if !self.engines[engine].up {
            return self.again(task.id, engine);
        }
        let prefill = self.engines[engine].take(task);
        self.begin(engine, prefill);
    }

    pub(super) fn begin(&mut self, engine: usize, prefill: Option<Prefill>) {
        let Some(prefill) = prefill else { return };
        let chain = &prefill.task.chain;
        let known = |b: &&u64| {
            let computed_us = self.computed.get(b);
            computed_us.is_some_and(|us| self.now_us - us < RECOMPUTED_US)
        };
        let behind = prefill.hit_blocks + prefill.task.import_blocks;
        let recomputed = chain.iter().skip(behind).filter(known).count();
        let outcome = &mut self.outcomes[prefill.task.id as usize];
        outcome.hit_blocks = prefill.hit_blocks;
        outcome.recomputed_blocks = recomputed;
        let event = Event::Prefilled {
            engine,
            incarnation: self.engines[engine].incarnation,
            task: prefill.task,
        };
        self.at(self.now_us + prefill.takes_us, event);
    }

    pub(super) fn prefilled(&mut self, engine: usize, incarnation: u64, task: &Task) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        for (depth, block) in task.chain.iter().enumerate() {
            let again = self.computed.insert(*block, self.now_us).is_some();
            if again && (depth + 1) % PIECE_BLOCKS == 0 {
                self.kept.insert(*block);
            }
        }
        let (next, answer_us) = self.engines[engine].prefilled(task);
        self.begin(engine, next);
        let ended = Event::Ended {
            engine,
            incarnation,
            id: task.id,
        };
        self.at(self.now_us + answer_us, ended);
        let at = task.id as usize;
        if self.places[at].on != Some((engine, incarnation)) {
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

    pub(super) fn ended(&mut self, engine: usize, incarnation: u64, id: u64) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        let next = self.engines[engine].ended();
        self.begin(engine, next);
        if self.places[id as usize].on != Some((engine, incarnation)) {
            return;
        }
        self.places[id as usize].over = true;
        let cached = self.outcomes[id as usize].hit_blocks;
        self.settle(id, engine, Some(cached));
    }

    pub(super) fn settle(&mut self, id: u64, engine: usize, cached_blocks: Option<usize>) {
        self.places[id as usize].on = None;
        let instance = self.requests[id as usize].instance;
        let now_ms = self.now_ms();
        let actions = self.instances[instance].ended(id, engine, cached_blocks, now_ms);
        self.act(actions);
    }
}
