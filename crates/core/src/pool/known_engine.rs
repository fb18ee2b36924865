use {
    super::{EngineEntry, Health, HealthSettings, short_hash},
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
};

/// Work that was sent to an engine and isn't done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests.
    pub requests: u32,
    /// Tokens that they may take in the engine's memory.
    pub memory_tokens: u32,
    /// Tokens of prompts that are still to be read.
    pub prefill_tokens: u32,
    /// Requests that can't go on elsewhere if their run is cut off.
    pub must_finish: u32,
}

impl Load {
    /// Adds another's work.
    pub fn add(&mut self, other: Load) {
        self.requests = self.requests.saturating_add(other.requests);
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_add(other.prefill_tokens);
        self.must_finish = self.must_finish.saturating_add(other.must_finish);
    }

    /// Removes work that was added before.
    pub fn remove(&mut self, other: Load) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(other.prefill_tokens);
        self.must_finish = self.must_finish.saturating_sub(other.must_finish);
    }
}

/// Work that is kept away from an engine whose weights are about to change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkPause {
    /// Weights that it will have.
    pub version: u64,
    /// When the note is no longer believed.
    pub until_ms: u64,
}

/// All that this instance believes of one engine.
#[derive(Debug, Clone)]
pub struct KnownEngine {
    /// What the engine said of itself.
    pub entry: EngineEntry,
    /// Short hash of its name, under which peers tell of it.
    pub name_hash: u32,
    /// Work sent by this instance.
    pub own: Load,
    /// Work sent by others, as they told last.
    pub others: Load,
    /// Failures seen.
    pub health: Health,
    /// Weights by model, from lists, answers and orders.
    pub versions: HashMap<String, u64>,
    /// Set while its weights are changed.
    pub pause: Option<WorkPause>,
    /// Shared parts that it read, and when they were last used.
    pub cached_parts_ms: HashMap<u64, u64>,
    /// When it told that it is about to leave, in an answer.
    pub leaving_since_ms: Option<u64>,
    /// Since when the list lacks it.
    pub missing_since_ms: Option<u64>,
    /// Until when it is used although the list lacks it.
    pub missing_until_ms: Option<u64>,
    /// When it was last tried whether it takes connections.
    pub last_probe_ms: u64,
    /// Until when a peer's word that it is silent is believed.
    pub reported_silent_until_ms: u64,
    /// When its last byte came.
    pub last_received_ms: u64,
}

/// Parts remembered of one engine. Its memory holds a few dozen shared parts;
/// more would be remembered in vain.
const MAX_CACHED_PARTS: usize = 256;

impl KnownEngine {
    /// Returns the belief of an engine that was just listed.
    pub fn new(entry: EngineEntry) -> KnownEngine {
        let versions = entry
            .models
            .iter()
            .map(|model| (model.model.clone(), model.version))
            .collect();
        KnownEngine {
            name_hash: short_hash(&entry.incarnation.id),
            entry,
            own: Load::default(),
            others: Load::default(),
            health: Health::default(),
            versions,
            pause: None,
            cached_parts_ms: HashMap::new(),
            leaving_since_ms: None,
            missing_since_ms: None,
            missing_until_ms: None,
            last_probe_ms: 0,
            reported_silent_until_ms: 0,
            last_received_ms: 0,
        }
    }

    /// Returns the work of all instances.
    pub fn load(&self) -> Load {
        let mut load = self.own;
        load.add(self.others);
        load
    }

    /// Returns the weights that the engine has of a model; 0 if unknown.
    pub fn version(&self, model: &str) -> u64 {
        self.versions.get(model).copied().unwrap_or(0)
    }

    /// Notes the weights of a model. New weights empty the engine's cache.
    pub fn set_version(&mut self, model: &str, version: u64) {
        let before = self.versions.insert(model.to_owned(), version);
        if before.is_some_and(|before| before != version) {
            self.cached_parts_ms.clear();
        }
    }

    /// Returns whether work is kept away because weights are changed.
    pub fn is_paused(&self, now_ms: u64) -> bool {
        self.pause.is_some_and(|pause| now_ms < pause.until_ms)
    }

    /// Returns whether the engine takes no connections, as seen here or told
    /// by a peer.
    pub fn is_silent(&self, now_ms: u64) -> bool {
        now_ms < self.reported_silent_until_ms || self.health.is_silent()
    }

    /// Returns whether the engine is taken to answer, by what was seen here and
    /// what peers say.
    ///
    /// Whoever orders weights may have no work at a dead engine and learn of it
    /// last; while it kept places for dead ones, the orders to the others would
    /// stand still.
    pub fn is_responsive(&self, settings: &HealthSettings, now_ms: u64) -> bool {
        !self.is_silent(now_ms) && !self.health.is_suspect(settings, now_ms)
    }

    /// Returns whether no request should go there: it is silent here, or a
    /// peer says so and nothing came from it since.
    pub fn is_excluded(&self, settings: &HealthSettings, now_ms: u64) -> bool {
        now_ms < self.reported_silent_until_ms || self.health.is_excluded(settings, now_ms)
    }

    /// Takes a peer's word that the engine is silent, unless it spoke here
    /// just now.
    pub fn report_silent(&mut self, believe_ms: u64, now_ms: u64) {
        if now_ms >= self.last_received_ms + believe_ms {
            self.reported_silent_until_ms = now_ms + believe_ms;
        }
    }

    /// Notes that something came from the engine.
    pub fn record_received(&mut self, now_ms: u64) {
        self.last_received_ms = now_ms;
        self.reported_silent_until_ms = 0;
        self.health.record_connection();
    }

    /// Keeps work away for a short time, after the engine refused some.
    pub fn pause_after_refusal(&mut self, pause_ms: u64, now_ms: u64) {
        if !self.is_paused(now_ms) {
            self.pause = Some(WorkPause {
                version: 0,
                until_ms: now_ms + pause_ms,
            });
        }
    }

    /// Returns whether a shared part is taken to be in the engine's cache.
    pub fn has_cached(&self, part: u64, retention_ms: u64, now_ms: u64) -> bool {
        let used_ms = self.cached_parts_ms.get(&part);
        used_ms.is_some_and(|used_ms| now_ms < used_ms + retention_ms)
    }

    /// Notes that the engine has read a shared part.
    pub fn record_part(&mut self, part: u64, now_ms: u64) {
        if self.cached_parts_ms.len() >= MAX_CACHED_PARTS
            && !self.cached_parts_ms.contains_key(&part)
        {
            let oldest = self.cached_parts_ms.iter().min_by_key(|(_, ms)| **ms);
            if let Some((&oldest, _)) = oldest {
                self.cached_parts_ms.remove(&oldest);
            }
        }
        self.cached_parts_ms.insert(part, now_ms);
    }
}
