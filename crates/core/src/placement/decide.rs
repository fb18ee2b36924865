use {
    super::{
        Choice, EngineSpec, PlacementRequest, PlacementSettings,
        block_index::{BlockIndex, MAX_INDEXED_ENGINES},
        candidates::{Candidate, Candidates},
        fleet::Fleet,
        prefix_checkpoints,
        prefix_table::{Holder, PrefixTable},
    },
    crate::engine::{CacheEvents, EngineState},
    rand::{SeedableRng, rngs::SmallRng},
    std::cmp::Ordering,
};

/// Weight of one sample in the moving averages.
const MEAN_WEIGHT: f64 = 0.05;

/// Initial estimate of the time for which a request occupies a slot.
const INITIAL_SERVICE_MS: f64 = 1_000.0;

/// Initial estimate of the prefill time of a request.
const INITIAL_PREFILL_MS: f64 = 50.0;

/// Resolution of cost comparisons. Costs within the same step count as equal.
const COST_STEP_MS: f64 = 5.0;

/// Requests that are assumed to be delayed by a prefill when the queue is
/// empty. A lower value would recompute more blocks for the same time to first
/// token; see docs/policy.md.
const DELAYED_RUNNING_REQUESTS: f64 = 3.0;

const US_PER_MS: f64 = 1_000.0;

/// Chooses engines for the requests of one instance.
///
/// Handles prefixes that are shared in nested levels, hot prefixes that shift,
/// slow engines, and engines that restart with an empty cache. Choosing any
/// idle engine would compute prompts again; choosing by a hash of the prefix
/// alone would queue a hot prefix at one engine while others idle.
#[derive(Debug)]
pub struct Placement {
    pub(super) settings: PlacementSettings,
    pub(super) fleet: Fleet,
    pub(super) table: PrefixTable,
    pub(super) index: BlockIndex,
    pub(super) rng: SmallRng,
    service_ms: f64,
    prefill_ms: f64,
    sent: u64,
}

impl Placement {
    /// Returns a placement without engines. `seed` seeds its random draws.
    pub fn new(settings: PlacementSettings, seed: u64) -> Placement {
        Placement {
            fleet: Fleet::default(),
            table: PrefixTable::new(settings.table_entries),
            index: BlockIndex::default(),
            rng: SmallRng::seed_from_u64(seed),
            service_ms: INITIAL_SERVICE_MS,
            prefill_ms: INITIAL_PREFILL_MS,
            sent: 0,
            settings,
        }
    }

    /// Replaces the set of engines by those of the records in force. The state
    /// of engines that stay is kept.
    pub fn set_engines(&mut self, specs: &[EngineSpec]) {
        for slot in self.fleet.set(specs) {
            self.index.remove_engine(slot);
        }
    }

    /// Sets the number of instances that share the engines; 0 counts as 1.
    pub fn set_instances(&mut self, instances: u32) {
        self.settings.instances = instances.max(1);
    }

    /// Applies a load report of an engine; `None` if the engine did not answer.
    pub fn report(&mut self, engine: &str, state: Option<&EngineState>) {
        if let Some(slot) = self.fleet.report(engine, state) {
            self.index.remove_engine(slot);
        }
    }

    /// Returns the sequence number from which on to read the cache events of an
    /// engine; `None` if the engine is unknown or the fleet is too large for
    /// the index.
    pub fn next_event_sequence(&self, engine: &str) -> Option<u64> {
        let max_engines = self.settings.max_indexed_engines.min(MAX_INDEXED_ENGINES);
        let slot = self.fleet.slot(engine)?;
        (self.fleet.len() <= max_engines && slot < MAX_INDEXED_ENGINES)
            .then(|| self.index.next_sequence(slot))
    }

    /// Applies cache events of an engine. Events of an incarnation other than
    /// that of its last report are ignored.
    pub fn cache_events(&mut self, engine: &str, events: &CacheEvents) {
        let Some(slot) = self.fleet.slot(engine) else {
            return;
        };
        let state = self.fleet.get(slot).state.as_ref();
        if let Some(incarnation) = state.map(|s| s.incarnation) {
            self.index.apply_events(slot, incarnation, events);
        }
    }

    /// Returns the weights version for a request, given the digest of its first
    /// block; `None` if no engine serves the model.
    pub fn version(&self, model: &str, first_block: u64) -> Option<&str> {
        self.fleet.version(model, first_block)
    }

    /// Returns the share of this instance in the request slots of all engines
    /// of a model.
    pub fn slot_share(&self, model: &str) -> f64 {
        f64::from(self.fleet.request_slots(model)) / f64::from(self.settings.instances)
    }

    /// Returns the mean time for which a request occupies a slot.
    pub fn service_ms(&self) -> f64 {
        self.service_ms
    }

    /// Chooses an engine; returns `None` if the request should wait in the
    /// queue.
    ///
    /// Under load, every engine that holds the prompt is full most of the time.
    /// Sending the request to the first engine with a free slot would compute
    /// the prompt again there, which takes time from other requests and fills
    /// the engines further. The request therefore waits for the best engine for
    /// up to the time by which that engine is better than the best free one,
    /// and then takes the free one.
    pub fn choose(&mut self, request: &PlacementRequest<'_>, now_ms: u64) -> Option<Choice> {
        let checkpoints = prefix_checkpoints(request.chain);
        let candidates = Candidates::collect(self, request, &checkpoints, now_ms);
        let choices: Vec<Choice> = candidates
            .iter()
            .map(|c| self.evaluate(request, c, now_ms))
            .collect();
        let best = choices.iter().min_by(|a, b| self.compare(a, b))?;
        if request.force || self.has_room(best) {
            return Some(self.with_candidate_count(best, choices.len()));
        }
        let free = choices
            .iter()
            .filter(|choice| self.has_room(choice))
            .min_by(|a, b| self.compare(a, b))?;
        let worse_by_ms = free.cost_ms - best.cost_ms;
        (worse_by_ms <= request.waited_ms as f64)
            .then(|| self.with_candidate_count(free, choices.len()))
    }

    /// Returns the number of queued requests per engine, assuming that every
    /// instance has as many as this one. A prefill delays each of them, so
    /// recomputing a prompt costs more the fuller the fleet is. Without this
    /// term, cache misses under overload use up the capacity that would end the
    /// overload.
    fn queued_per_engine(&self, request: &PlacementRequest<'_>) -> f64 {
        let engines = self.fleet.model(request.model).map_or(1, |m| m.slots.len());
        let queued = request.queued as f64 * f64::from(self.settings.instances);
        queued / engines.max(1) as f64
    }

    fn has_room(&self, choice: &Choice) -> bool {
        let settings = &self.settings;
        let engine = self.fleet.get(choice.slot);
        engine.has_room(settings.instances, settings.max_queued_in_engine)
    }

    fn with_candidate_count(&self, choice: &Choice, candidate_count: usize) -> Choice {
        Choice {
            candidate_count,
            ..choice.clone()
        }
    }

    /// Compares two choices by cost. Within the same cost step, the engine that
    /// was chosen less recently is better, so that noise in the estimates does
    /// not concentrate the requests on one engine.
    fn compare(&self, a: &Choice, b: &Choice) -> Ordering {
        let cost_steps = |choice: &Choice| (choice.cost_ms / COST_STEP_MS).floor();
        let last_sent = |choice: &Choice| self.fleet.get(choice.slot).last_sent;
        cost_steps(a)
            .total_cmp(&cost_steps(b))
            .then(last_sent(a).cmp(&last_sent(b)))
    }

    fn evaluate(
        &self,
        request: &PlacementRequest<'_>,
        candidate: &Candidate,
        now_ms: u64,
    ) -> Choice {
        let engine = self.fleet.get(candidate.slot);
        let (prefill_ms, imports) = self.prefill_ms(request, candidate.expected_blocks);
        // Expected blocks that are not known to be held are imported as well:
        // the engine skips those that it finds in its cache.
        let import_blocks = if imports {
            request
                .cache_store_blocks
                .saturating_sub(candidate.held_blocks)
        } else {
            0
        };
        let wait_ms = engine.wait_ms(self.service_ms, self.prefill_ms);
        let distance_ms = if engine.spec.in_same_domain {
            0.0
        } else {
            self.settings.other_domain_ms
        };
        let nominal_ms = self.settings.base_ms + wait_ms + prefill_ms;
        let expected_ms = distance_ms + engine.slowness(now_ms) * nominal_ms;
        let delayed_requests =
            DELAYED_RUNNING_REQUESTS + self.queued_per_engine(request) * engine.fullness();
        Choice {
            engine: engine.spec.name.clone(),
            incarnation: engine.state.as_ref().map_or(0, |s| s.incarnation),
            held_blocks: candidate.held_blocks,
            import_blocks,
            expected_ms,
            cost_ms: expected_ms + prefill_ms * delayed_requests,
            candidate_count: 0,
            slot: candidate.slot,
            generation: engine.generation,
            prefill_ms,
            nominal_ms,
            held_age_ms: candidate.age_ms,
            sent_ms: now_ms,
            first_token: false,
        }
    }

    /// Returns the expected prefill time, and whether blocks are to be
    /// imported.
    fn prefill_ms(&self, request: &PlacementRequest<'_>, held_blocks: f64) -> (f64, bool) {
        let settings = &self.settings;
        let blocks = request.chain.len() as f64;
        let importable = (request.cache_store_blocks as f64 - held_blocks).max(0.0);
        let import_us = settings.import_us.filter(|us| *us < settings.miss_us);
        let imported = import_us.map_or(0.0, |_| importable);
        let missed = (blocks - held_blocks - imported).max(0.0);
        let us = held_blocks * settings.hit_us
            + imported * import_us.unwrap_or_default()
            + missed * settings.miss_us;
        (us / US_PER_MS, imported > 0.0)
    }

    /// Records that a request was sent to the chosen engine. Updates the load
    /// of the engine and the table of hot prefixes.
    pub fn sent(&mut self, choice: &mut Choice, chain: &[u64], now_ms: u64) {
        choice.sent_ms = now_ms;
        self.sent += 1;
        let engine = self.fleet.get_mut(choice.slot);
        engine.last_sent = self.sent;
        engine.in_flight += 1;
        engine.since_report += 1;
        engine.pending += 1;
        engine.backlog_ms += choice.prefill_ms;
        let slot_ms = self.service_ms / f64::from(engine.slots());
        let cost_ms = choice.prefill_ms + slot_ms;
        let holder = Holder {
            slot: choice.slot,
            generation: choice.generation,
            used_ms: now_ms,
        };
        for checkpoint in prefix_checkpoints(chain) {
            self.table.add_load(checkpoint.digest, cost_ms, now_ms);
            self.table.add_holder(checkpoint.digest, holder);
        }
    }

    /// Records the first token of a request. Updates the mean prefill time and
    /// the slowness of the engine. Later calls for the same choice have no
    /// effect.
    pub fn first_token(&mut self, choice: &mut Choice, now_ms: u64) {
        if choice.first_token || !self.is_current(choice) {
            return;
        }
        choice.first_token = true;
        let seen_ms = now_ms.saturating_sub(choice.sent_ms) as f64;
        self.prefill_ms += (choice.prefill_ms - self.prefill_ms) * MEAN_WEIGHT;
        let engine = self.fleet.get_mut(choice.slot);
        engine.prefill_finished(choice.prefill_ms);
        engine.observe_first_token(choice.nominal_ms, seen_ms, now_ms);
    }

    /// Records the end of an attempt. `cached_blocks` is the number of blocks
    /// that the engine found in its cache, if the answer is complete; it
    /// corrects the estimated cache retention of the engine.
    pub fn ended(&mut self, choice: &Choice, cached_blocks: Option<usize>, now_ms: u64) {
        if !self.is_current(choice) {
            return;
        }
        let engine = self.fleet.get_mut(choice.slot);
        engine.in_flight = engine.in_flight.saturating_sub(1);
        engine.since_report -= 1;
        if !choice.first_token {
            engine.prefill_finished(choice.prefill_ms);
        }
        let Some(cached_blocks) = cached_blocks else {
            return;
        };
        if choice.held_blocks > 0 {
            let found = cached_blocks >= choice.held_blocks;
            engine.observe_retention(choice.held_age_ms, found);
        }
        let service_ms = now_ms.saturating_sub(choice.sent_ms) as f64;
        self.service_ms += (service_ms - self.service_ms) * MEAN_WEIGHT;
    }

    /// Returns whether the slot still belongs to the engine of a choice. A
    /// choice whose engine record was replaced is not counted.
    fn is_current(&self, choice: &Choice) -> bool {
        let engine = self.fleet.get(choice.slot);
        engine.spec.name == choice.engine
    }

    /// Returns the number of prefixes in the table of hot prefixes.
    pub fn table_len(&self) -> usize {
        self.table.len()
    }
}
