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

/// Weight of one observation in a mean.
const MEAN_WEIGHT: f64 = 0.05;

/// Time that a request holds a slot, before answers tell.
const INITIAL_SERVICE_MS: f64 = 1_000.0;

/// Prefill of a request, before answers tell.
const INITIAL_PREFILL_MS: f64 = 50.0;

/// Expectations that differ by less count as equal.
const COST_STEP_MS: f64 = 5.0;

/// Requests that a prefill holds up where none waits. Fewer would compute more
/// blocks again for the same time to first token; see docs/policy.md.
const DELAYED_RUNNING_REQUESTS: f64 = 3.0;

const US_PER_MS: f64 = 1_000.0;

/// Decides where requests go, for one instance.
///
/// Answers shared prefixes nested in levels, hot prefixes that shift, slow
/// engines and engines that come back empty. Without it a prompt is computed
/// anew on whichever engine is idle; with a hash of the prefix alone, a hot
/// prefix stands in one engine's queue while others idle.
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
    /// Returns a placement that knows no engine yet.
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

    /// Takes the engines of the records in force.
    pub fn set_engines(&mut self, specs: &[EngineSpec]) {
        for slot in self.fleet.set(specs) {
            self.index.remove_engine(slot);
        }
    }

    /// Sets how many instances share the engines.
    pub fn set_instances(&mut self, instances: u32) {
        self.settings.instances = instances.max(1);
    }

    /// Takes an engine's report; none where it did not answer.
    pub fn report(&mut self, engine: &str, state: Option<&EngineState>) {
        if let Some(slot) = self.fleet.report(engine, state) {
            self.index.remove_engine(slot);
        }
    }

    /// Returns the sequence number from which an engine's cache events are
    /// to be read; none where the fleet is too large to read any.
    pub fn next_event_sequence(&self, engine: &str) -> Option<u64> {
        let max_engines = self.settings.full_events_engines.min(MAX_INDEXED_ENGINES);
        let slot = self.fleet.slot(engine)?;
        (self.fleet.len() <= max_engines && slot < MAX_INDEXED_ENGINES)
            .then(|| self.index.next_sequence(slot))
    }

    /// Takes cache events of an engine. Those of another start than the one
    /// that reports its state are dropped.
    pub fn cache_events(&mut self, engine: &str, events: &CacheEvents) {
        let Some(slot) = self.fleet.slot(engine) else {
            return;
        };
        let state = self.fleet.get(slot).state.as_ref();
        if let Some(incarnation) = state.map(|s| s.incarnation) {
            self.index.apply_events(slot, incarnation, events);
        }
    }

    /// Returns the weights version for a request whose prompt begins with a
    /// block; none if no engine serves the model.
    pub fn version(&self, model: &str, first_block: u64) -> Option<&str> {
        self.fleet.version(model, first_block)
    }

    /// Returns the requests that the model's engines can run at once, this
    /// instance's share.
    pub fn slot_share(&self, model: &str) -> f64 {
        f64::from(self.fleet.request_slots(model)) / f64::from(self.settings.instances)
    }

    /// Returns the mean time that a request holds a slot.
    pub fn service_ms(&self) -> f64 {
        self.service_ms
    }

    /// Chooses an engine; none if the request had better wait.
    ///
    /// Under load every engine that holds the prompt is full most of the time.
    /// Sending the request to the first engine with a free slot instead would
    /// compute the prompt again there and take the time from others, which
    /// makes the engines fuller still. So it waits for a better engine as long
    /// as that engine is better by, and then takes what is free.
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

    /// Returns how many requests wait for each engine, those of the other
    /// instances estimated from its own. A prefill holds each of them up, so
    /// computing a prompt anew costs the more the fuller the fleet is; without
    /// this, misses under overload take the capacity that would end it.
    fn queued_per_engine(&self, request: &PlacementRequest<'_>) -> f64 {
        let engines = self.fleet.model(request.model).map_or(1, |m| m.slots.len());
        let queued = request.queued as f64 * f64::from(self.settings.instances);
        queued / engines.max(1) as f64
    }

    fn has_room(&self, choice: &Choice) -> bool {
        let settings = &self.settings;
        let engine = self.fleet.get(choice.slot);
        engine.has_room(settings.instances, settings.queue_ahead)
    }

    fn with_candidate_count(&self, choice: &Choice, candidate_count: usize) -> Choice {
        Choice {
            candidate_count,
            ..choice.clone()
        }
    }

    /// Compares two choices. Where the expectations are as good as equal, the
    /// engine that was not chosen for longer is better: estimates that differ
    /// by noise must not gather the work on one engine.
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
        // What is only expected to be there is imported all the same: the
        // engine skips what it finds.
        let import_blocks = if imports {
            request
                .kv_store_blocks
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

    /// Returns the expected time of the prefill, and whether blocks are to be
    /// imported for it.
    fn prefill_ms(&self, request: &PlacementRequest<'_>, held_blocks: f64) -> (f64, bool) {
        let settings = &self.settings;
        let blocks = request.chain.len() as f64;
        let importable = (request.kv_store_blocks as f64 - held_blocks).max(0.0);
        let import_us = settings.import_us.filter(|us| *us < settings.miss_us);
        let imported = import_us.map_or(0.0, |_| importable);
        let missed = (blocks - held_blocks - imported).max(0.0);
        let us = held_blocks * settings.hit_us
            + imported * import_us.unwrap_or_default()
            + missed * settings.miss_us;
        (us / US_PER_MS, imported > 0.0)
    }

    /// Notes that a request was sent where it was placed.
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

    /// Notes a request's first token.
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

    /// Notes that an attempt ended, and what the engine found in its cache if
    /// the answer is complete. The engine's own count corrects what was
    /// believed of it.
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

    /// Returns whether a choice still speaks of the engine in its slot. One
    /// whose record was replaced is counted nowhere.
    fn is_current(&self, choice: &Choice) -> bool {
        let engine = self.fleet.get(choice.slot);
        engine.spec.name == choice.engine
    }

    /// Returns the number of prefixes held in the table.
    pub fn table_len(&self) -> usize {
        self.table.len()
    }
}
