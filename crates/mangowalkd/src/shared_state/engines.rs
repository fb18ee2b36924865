use {
    super::lock,
    mangowalk_core::engine::EngineState,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
    },
};

/// The last known state of one engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct KnownEngine {
    /// State that it reported to the last poll; `None` if it did not respond.
    pub state: Option<EngineState>,
    /// Time of the last poll, in milliseconds; 0 before the first.
    pub polled_ms: u64,
    /// Attempts that this instance has in flight on it.
    pub in_flight: u32,
}

/// The last known state of each engine, by the name of its record.
#[derive(Debug, Clone, Default)]
pub struct SharedEngines {
    engines: Arc<Mutex<BTreeMap<String, KnownEngine>>>,
}

impl SharedEngines {
    /// Returns a copy of the state of every engine.
    pub fn snapshot(&self) -> BTreeMap<String, KnownEngine> {
        lock(&self.engines).clone()
    }

    /// Calls `reader` with the state of every engine, without a copy.
    pub fn read<T>(&self, reader: impl FnOnce(&BTreeMap<String, KnownEngine>) -> T) -> T {
        reader(&lock(&self.engines))
    }

    /// Changes the state of one engine, which is added if it is new.
    pub fn update(&self, name: &str, writer: impl FnOnce(&mut KnownEngine)) {
        let mut engines = lock(&self.engines);
        writer(engines.entry(name.to_owned()).or_default());
    }

    /// Removes the engines for which `keep` returns false, because their
    /// records were withdrawn.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        lock(&self.engines).retain(|name, _| keep(name));
    }

    /// Counts an attempt as in flight until the guard is dropped.
    pub fn start(&self, name: &str) -> InFlightGuard {
        self.update(name, |s| s.in_flight += 1);
        InFlightGuard {
            shared: self.clone(),
            name: name.to_owned(),
        }
    }
}

/// Counts an attempt as in flight on its engine until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    shared: SharedEngines,
    name: String,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared
            .update(&self.name, |s| s.in_flight = s.in_flight.saturating_sub(1));
    }
}
