use {
    super::{
        ring::Ring,
        tracked_engine::{EngineSpec, TrackedEngine},
    },
    crate::engine::EngineState,
    std::collections::HashMap,
};

/// Engines of one model, without departing ones.
#[derive(Debug, Default)]
pub(super) struct ModelEngines {
    pub(super) slots: Vec<usize>,
    pub(super) ring: Ring,
    /// Number of engines that serve each weights version.
    versions: HashMap<String, usize>,
}

/// All engines. Each has a slot, its index in `engines`, that stays the same while
/// its record exists. The slot of a removed engine is reused only by an engine
/// that the same [`Fleet::set`] adds.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    engines: Vec<TrackedEngine>,
    by_name: HashMap<String, usize>,
    models: HashMap<String, ModelEngines>,
}

impl Fleet {
    /// Replaces the set of engines by those of the records in force, keeping
    /// the state of engines that stay. Returns the slots whose engine was
    /// removed.
    pub(super) fn set(&mut self, specs: &[EngineSpec]) -> Vec<usize> {
        let removed_names: Vec<String> = self
            .by_name
            .keys()
            .filter(|name| specs.iter().all(|s| s.name != **name))
            .cloned()
            .collect();
        let freed_slots: Vec<usize> = removed_names
            .iter()
            .filter_map(|name| self.by_name.remove(name))
            .collect();
        let mut reusable_slots = freed_slots.clone();
        for spec in specs {
            match self.by_name.get(&spec.name) {
                Some(slot) => self.engines[*slot].spec = spec.clone(),
                None => self.insert_new(spec, reusable_slots.pop()),
            }
        }
        self.rebuild_models();
        freed_slots
    }

    fn insert_new(&mut self, spec: &EngineSpec, freed_slot: Option<usize>) {
        let slot = match freed_slot {
            Some(slot) => {
                let generation = self.engines[slot].generation + 1;
                self.engines[slot] = TrackedEngine::new(spec.clone(), generation);
                slot
            }
            None => {
                self.engines.push(TrackedEngine::new(spec.clone(), 0));
                self.engines.len() - 1
            }
        };
        self.by_name.insert(spec.name.clone(), slot);
    }

    fn rebuild_models(&mut self) {
        self.models.clear();
        let mut names: Vec<(&String, usize)> = self.by_name.iter().map(|(n, s)| (n, *s)).collect();
        names.sort_unstable();
        for (_, slot) in names {
            let spec = &self.engines[slot].spec;
            if !spec.departing {
                let model = self.models.entry(spec.model.clone()).or_default();
                model.slots.push(slot);
            }
        }
        for model in self.models.values_mut() {
            let named = model
                .slots
                .iter()
                .map(|s| (self.engines[*s].spec.name.as_str(), *s));
            model.ring = Ring::of(named);
        }
        self.count_versions();
    }

    /// Applies a load report; `None` if the engine did not answer. Returns the
    /// slot if the engine has restarted, so that its cached blocks are cleared.
    pub(super) fn report(&mut self, name: &str, state: Option<&EngineState>) -> Option<usize> {
        let slot = *self.by_name.get(name)?;
        let engine = &mut self.engines[slot];
        let served_before = engine.served();
        let restarted = match state {
            Some(state) => engine.report(state),
            None => {
                engine.mark_unreachable();
                false
            }
        };
        if served_before != self.engines[slot].served() {
            self.count_versions();
        }
        restarted.then_some(slot)
    }

    fn count_versions(&mut self) {
        for model in self.models.values_mut() {
            model.versions.clear();
            for slot in &model.slots {
                if let Some((_, version)) = self.engines[*slot].served() {
                    *model.versions.entry(version).or_default() += 1;
                }
            }
        }
    }

    /// Returns the weights version with which a request runs, given the digest of
    /// the first block of its prompt. Each version gets a share of the prompt
    /// prefixes in proportion to its number of engines, so that the first
    /// engines of a new version are not overloaded. A prefix stays with one
    /// version while these numbers do not change.
    pub(super) fn version(&self, model: &str, first_block: u64) -> Option<&str> {
        let versions = &self.models.get(model)?.versions;
        let mut sorted: Vec<(&String, &usize)> = versions.iter().collect();
        sorted.sort_unstable();
        let total: usize = versions.values().sum();
        let mut offset = (first_block % total.max(1) as u64) as usize;
        for (version, count) in sorted {
            if offset < *count {
                return Some(version);
            }
            offset -= count;
        }
        None
    }

    pub(super) fn model(&self, model: &str) -> Option<&ModelEngines> {
        self.models.get(model)
    }

    pub(super) fn get(&self, slot: usize) -> &TrackedEngine {
        &self.engines[slot]
    }

    pub(super) fn get_mut(&mut self, slot: usize) -> &mut TrackedEngine {
        &mut self.engines[slot]
    }

    pub(super) fn slot(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    pub(super) fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns the total number of requests that the engines of a model can run
    /// at the same time (their own slots, not those of the fleet). Engines that
    /// have not reported do not count.
    pub(super) fn request_slots(&self, model: &str) -> u32 {
        let fleet_slots = self.models.get(model).map(|m| m.slots.as_slice());
        fleet_slots
            .unwrap_or_default()
            .iter()
            .map(|slot| &self.engines[*slot])
            .filter(|e| e.state.is_some())
            .map(TrackedEngine::slots)
            .sum()
    }
}
