use {
    super::lock,
    mangowalk_core::engine::EngineState,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
    },
};

/// An engine as last seen.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct KnownEngine {
    /// What it reported last; none if it did not answer.
    pub state: Option<EngineState>,
    /// When it reported.
    pub seen_ms: u64,
    /// Attempts that this instance runs on it now.
    pub in_flight: u32,
}

/// Engines as last seen, by name of record.
#[derive(Debug, Clone, Default)]
pub struct SharedEngines {
    sights: Arc<Mutex<BTreeMap<String, KnownEngine>>>,
}

impl SharedEngines {
    /// Returns a copy of every sight.
    pub fn snapshot(&self) -> BTreeMap<String, KnownEngine> {
        lock(&self.sights).clone()
    }

    /// Reads the sights without copying them.
    pub fn read<T>(&self, reader: impl FnOnce(&BTreeMap<String, KnownEngine>) -> T) -> T {
        reader(&lock(&self.sights))
    }

    /// Changes one engine's sight.
    pub fn update(&self, name: &str, writer: impl FnOnce(&mut KnownEngine)) {
        let mut sights = lock(&self.sights);
        writer(sights.entry(name.to_owned()).or_default());
    }

    /// Forgets engines whose records are gone.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        lock(&self.sights).retain(|name, _| keep(name));
    }

    /// Counts an attempt as in flight until the guard is dropped.
    pub fn start(&self, name: &str) -> InFlightGuard {
        self.update(name, |s| s.in_flight += 1);
        InFlightGuard {
            board: self.clone(),
            name: name.to_owned(),
        }
    }
}

/// An attempt that is counted on its engine while this guard lives.
#[derive(Debug)]
pub struct InFlightGuard {
    board: SharedEngines,
    name: String,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.board
            .update(&self.name, |s| s.in_flight = s.in_flight.saturating_sub(1));
    }
}
