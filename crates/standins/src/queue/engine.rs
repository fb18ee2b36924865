use {
    super::deployment::{CACHE_BLOCKS, HIT_US, IMPORT_US, MISS_US, SLOTS, TOKEN_US},
    crate::cache::PrefixCache,
    mangowalk_core::engine::{EngineState, LoadReport},
    std::{collections::VecDeque, sync::Arc},
};

/// A request at an engine.
#[derive(Debug, Clone)]
pub(super) struct Task {
    pub(super) id: u64,
    pub(super) chain: Arc<[u64]>,
    pub(super) answer_tokens: u64,
    /// Blocks that the engine may import from the KV cache store.
    pub(super) import_blocks: usize,
}

/// A prefill that has started.
#[derive(Debug, Clone)]
pub(super) struct Prefill {
    pub(super) task: Task,
    pub(super) hit_blocks: usize,
    pub(super) takes_us: u64,
}

/// One engine with the slots of a continuous batch that computes one prefill at a
/// time.
#[derive(Debug)]
pub(super) struct EngineModel {
    pub(super) incarnation: u64,
    pub(super) is_up: bool,
    pub(super) slow_factor: u64,
    pub(super) cache: PrefixCache,
    running: u32,
    /// Tasks without a slot.
    waiting: VecDeque<Task>,
    /// Tasks with a slot whose prefill has not started.
    prefills: VecDeque<Task>,
    /// Whether a prefill is running.
    computing: bool,
    /// Load that readers of the state see.
    published: LoadReport,
}

impl EngineModel {
    pub(super) fn new(incarnation: u64) -> EngineModel {
        let published = LoadReport {
            slots: SLOTS,
            ..LoadReport::default()
        };
        EngineModel {
            incarnation,
            is_up: true,
            slow_factor: 1,
            cache: PrefixCache::new(CACHE_BLOCKS),
            running: 0,
            waiting: VecDeque::new(),
            prefills: VecDeque::new(),
            computing: false,
            published,
        }
    }

    /// Queues a task. Returns the prefill that starts, if any.
    pub(super) fn enqueue(&mut self, task: Task) -> Option<Prefill> {
        self.waiting.push_back(task);
        self.advance()
    }

    /// Moves waiting tasks into free slots and starts a prefill unless one is
    /// running.
    fn advance(&mut self) -> Option<Prefill> {
        while self.running < SLOTS {
            let Some(task) = self.waiting.pop_front() else {
                break;
            };
            self.running += 1;
            self.prefills.push_back(task);
        }
        if self.computing {
            return None;
        }
        let task = self.prefills.pop_front()?;
        self.computing = true;
        let blocks = task.chain.len();
        let hit_blocks = self.cache.hits(&task.chain);
        let imported = task.import_blocks.min(blocks - hit_blocks);
        let missed = blocks - hit_blocks - imported;
        let takes_us =
            hit_blocks as u64 * HIT_US + imported as u64 * IMPORT_US + missed as u64 * MISS_US;
        Some(Prefill {
            task,
            hit_blocks,
            takes_us: takes_us * self.slow_factor,
        })
    }

    /// Ends a prefill. Returns the next one and the time that the answer takes,
    /// in microseconds.
    pub(super) fn prefilled(&mut self, task: &Task) -> (Option<Prefill>, u64) {
        self.cache.store(&task.chain);
        self.computing = false;
        let answer_us = task.answer_tokens * TOKEN_US * self.slow_factor;
        (self.advance(), answer_us)
    }

    /// Frees a slot. Returns the prefill that starts, if any.
    pub(super) fn ended(&mut self) -> Option<Prefill> {
        self.running -= 1;
        self.advance()
    }

    /// Removes a task that has no slot yet. Returns whether there was one.
    pub(super) fn remove_waiting(&mut self, id: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|t| t.id != id);
        before > self.waiting.len()
    }

    /// Publishes the load, which readers see until the next call.
    pub(super) fn publish(&mut self) {
        self.published = LoadReport {
            running: self.running - self.prefills.len() as u32,
            waiting: (self.waiting.len() + self.prefills.len()) as u32,
            slots: SLOTS,
        };
    }

    /// Returns the state as a report shows it, `None` while the engine is down.
    pub(super) fn state(&self) -> Option<EngineState> {
        self.is_up.then(|| EngineState {
            incarnation: self.incarnation,
            model: MODEL.to_owned(),
            version: VERSION.to_owned(),
            load: self.published,
            ..EngineState::default()
        })
    }
}

/// Model that every engine of the queue model serves.
pub(super) const MODEL: &str = "assistant";
/// Weights version of [`MODEL`].
pub(super) const VERSION: &str = "v1";
