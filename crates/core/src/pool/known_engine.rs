use {
    super::{EngineEntry, Health, HealthSettings, short_hash},
    crate::{canary::SoftwareRole, capacity::EnginePace, origin::EngineBuild},
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
};

/// Unfinished work that was sent to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests.
    pub requests: u32,
    /// Maximum number of tokens that the requests occupy in the memory of the
    /// engine.
    pub memory_tokens: u32,
    /// Prompt tokens that the engine has yet to read.
    pub prefill_tokens: u32,
    /// Requests that cannot resume on another engine if they are cut off.
    pub must_finish: u32,
}

impl Load {
    /// Adds other work.
    pub fn add(&mut self, other: Load) {
        self.requests = self.requests.saturating_add(other.requests);
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_add(other.prefill_tokens);
        self.must_finish = self.must_finish.saturating_add(other.must_finish);
    }

    /// Subtracts work that was added before. Saturates at 0.
    pub fn remove(&mut self, other: Load) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(other.prefill_tokens);
        self.must_finish = self.must_finish.saturating_sub(other.must_finish);
    }
}

/// A time during which an engine gets new work only if no other engine is
/// available: its weights are about to change, or it has refused work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkPause {
    /// Weights version that the engine will have; 0 after a refusal.
    pub version: u64,
    /// End of the pause.
    pub until_ms: u64,
}

/// State of one engine as known to this instance.
#[derive(Debug, Clone)]
pub struct KnownEngine {
    /// Last entry of the engine in the engine list.
    pub entry: EngineEntry,
    /// Its service and software version; `None` if its entry names no version.
    pub build: Option<EngineBuild>,
    /// Whether its build outlasts all instances, so that streams may begin at it.
    pub is_build_kept: bool,
    /// What it may be used for because of its software version.
    pub software_role: SoftwareRole,
    /// Short hash of its name, by which peers refer to it in heartbeats.
    pub name_hash: u32,
    /// Work sent by this instance.
    pub own: Load,
    /// Work sent by other instances, as last reported by them.
    pub others: Load,
    /// Failures seen by this instance.
    pub health: Health,
    /// Pace at which it works.
    pub pace: EnginePace,
    /// Weights version per model, from list entries, answers and orders.
    pub versions: HashMap<String, u64>,
    /// Set while new requests to the engine are paused.
    pub pause: Option<WorkPause>,
    /// Shared prompt parts that the engine has read, with the time of their
    /// last use.
    pub cached_parts_ms: HashMap<u64, u64>,
    /// Time since which the engine list lacks the engine.
    pub missing_since_ms: Option<u64>,
    /// Time until which the engine is used although the list lacks it.
    pub missing_until_ms: Option<u64>,
    /// Time of the last probe for whether it accepts connections. In the future if
    /// a probe is scheduled.
    last_probe_ms: u64,
    /// Time until which the report of a peer that it is silent applies.
    pub reported_silent_until_ms: u64,
    /// Time at which the last byte was received from it.
    pub last_received_ms: u64,
}

/// Maximum number of parts recorded per engine. The memory of an engine holds a
/// few dozen shared parts, so more entries would be of no use.
const MAX_CACHED_PARTS: usize = 256;

impl KnownEngine {
    /// Returns the initial state of an engine that was just listed.
    pub fn new(entry: EngineEntry) -> KnownEngine {
        let versions = entry
            .models
            .iter()
            .map(|model| (model.model.clone(), model.version))
            .collect();
        KnownEngine {
            name_hash: short_hash(&entry.incarnation.id),
            build: EngineBuild::of(&entry),
            entry,
            is_build_kept: true,
            software_role: SoftwareRole::default(),
            own: Load::default(),
            others: Load::default(),
            health: Health::default(),
            pace: EnginePace::default(),
            versions,
            pause: None,
            cached_parts_ms: HashMap::new(),
            missing_since_ms: None,
            missing_until_ms: None,
            last_probe_ms: 0,
            reported_silent_until_ms: 0,
            last_received_ms: 0,
        }
    }

    /// Returns the work sent by all instances.
    pub fn load(&self) -> Load {
        let mut load = self.own;
        load.add(self.others);
        load
    }

    /// Returns by how much longer work takes at the engine than usual: 1.0 as usual, or if no
    /// pace was named lately, and 3.0 at a third of the speed.
    pub fn slowdown(&self, now_ms: u64) -> f64 {
        self.pace.slowdown(now_ms)
    }

    /// Returns the weights version of a model at the engine; 0 if unknown.
    pub fn version(&self, model: &str) -> u64 {
        self.versions.get(model).copied().unwrap_or(0)
    }

    /// Sets the weights version of a model. A change of version clears the
    /// cached parts, as new weights empty the cache of the engine.
    pub fn set_version(&mut self, model: &str, version: u64) {
        let before = self.versions.insert(model.to_owned(), version);
        if before.is_some_and(|before| before != version) {
            self.cached_parts_ms.clear();
        }
    }

    /// Returns whether new requests to the engine are paused.
    pub fn is_paused(&self, now_ms: u64) -> bool {
        self.pause.is_some_and(|pause| now_ms < pause.until_ms)
    }

    /// Returns whether the engine accepts no connections, according to this
    /// instance or to a peer.
    pub fn is_silent(&self, now_ms: u64) -> bool {
        now_ms < self.reported_silent_until_ms || self.health.is_silent()
    }

    /// Returns whether the engine is assumed to answer, according to this
    /// instance and its peers.
    ///
    /// The instance that orders weights may have no work at a dead engine and
    /// so detect its failure last. If dead engines counted against the limits
    /// of concurrent loads and of unavailable engines, the orders to the others
    /// would stall.
    pub fn is_responsive(&self, settings: &HealthSettings, now_ms: u64) -> bool {
        !self.is_silent(now_ms) && !self.health.is_suspect(settings, now_ms)
    }

    /// Returns whether no request should be sent to the engine: it is silent, it
    /// is suspect with a probe request in flight, or a peer reported it silent
    /// and nothing was received from it since.
    pub fn is_excluded(&self, settings: &HealthSettings, now_ms: u64) -> bool {
        now_ms < self.reported_silent_until_ms || self.health.is_excluded(settings, now_ms)
    }

    /// Returns whether only the word of a peer keeps requests from the engine. The peer
    /// may have lost its own path to it.
    pub fn is_excluded_by_report_only(&self, settings: &HealthSettings, now_ms: u64) -> bool {
        now_ms < self.reported_silent_until_ms && !self.health.is_excluded(settings, now_ms)
    }

    /// Applies the report of a peer that the engine is silent, for `valid_ms`.
    /// Ignored if something was received from the engine within the last
    /// `valid_ms`.
    pub fn report_silent(&mut self, valid_ms: u64, now_ms: u64) {
        if now_ms >= self.last_received_ms + valid_ms {
            self.reported_silent_until_ms = now_ms + valid_ms;
        }
    }

    /// Records that something was received from the engine.
    pub fn record_received(&mut self, now_ms: u64) {
        self.last_received_ms = now_ms;
        self.reported_silent_until_ms = 0;
        self.health.record_connection();
    }

    /// Pauses new requests to the engine for `pause_ms` after it refused some,
    /// unless they are paused already.
    pub fn pause_after_refusal(&mut self, pause_ms: u64, now_ms: u64) {
        if !self.is_paused(now_ms) {
            self.pause = Some(WorkPause {
                version: 0,
                until_ms: now_ms + pause_ms,
            });
        }
    }

    /// Returns after how many milliseconds to probe whether the engine accepts
    /// connections, or `None` if no probe is needed, and records that probe.
    ///
    /// At most one probe is started per `interval_ms`. After a lost request the
    /// probe is postponed to the end of the interval instead of left out: the last
    /// probe may have been accepted just before the request crashed the engine.
    pub fn schedule_probe(
        &mut self,
        is_request_lost: bool,
        interval_ms: u64,
        now_ms: u64,
    ) -> Option<u64> {
        if self.health.is_silent() {
            return None;
        }
        let earliest_ms = self.last_probe_ms + interval_ms;
        if now_ms >= earliest_ms {
            self.last_probe_ms = now_ms;
            return Some(0);
        }
        let is_scheduled = self.last_probe_ms > now_ms;
        if !is_request_lost || is_scheduled {
            return None;
        }
        self.last_probe_ms = earliest_ms;
        Some(earliest_ms - now_ms)
    }

    /// Returns whether the engine is assumed to have a shared part in its
    /// cache, where parts stay for `retention_ms` after their last use.
    pub fn has_cached(&self, part: u64, retention_ms: u64, now_ms: u64) -> bool {
        let used_ms = self.cached_parts_ms.get(&part);
        used_ms.is_some_and(|used_ms| now_ms < used_ms + retention_ms)
    }

    /// Records that the engine has read a shared part. Replaces the least
    /// recently used part if there are `MAX_CACHED_PARTS`.
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
