use {
    super::{Belief, EngineEntry, Load, rendezvous},
    std::collections::{BTreeMap, HashMap},
};

/// Longest time for which an answer that told of leaving is believed without
/// the list saying so. Engines also close connections at other times.
const LEAVING_MS: u64 = 4_000;

/// Returns a short hash of an engine's name, for peers.
pub fn short_hash(id: &str) -> u32 {
    rendezvous(0, id) as u32
}

/// Engines that are listed, and what is believed of each.
#[derive(Debug, Default)]
pub struct EngineTable {
    engines: BTreeMap<String, Belief>,
    peer_loads: HashMap<String, HashMap<String, Load>>,
}

impl EngineTable {
    /// Takes over an entry. A new start under the same name, or another
    /// address, begins with nothing believed.
    ///
    /// Returns whether anything but the engine's models changed.
    pub fn list(&mut self, entry: EngineEntry) -> bool {
        let id = entry.incarnation.id.clone();
        let Some(belief) = self.engines.get_mut(&id) else {
            self.engines.insert(id, Belief::new(entry));
            return true;
        };
        let same = belief.entry.incarnation == entry.incarnation
            && belief.entry.address == entry.address
            && belief.entry.service == entry.service;
        if !same {
            let own = belief.own;
            *belief = Belief::new(entry);
            belief.own = own;
            return true;
        }
        for model in &entry.models {
            // An entry lies up to a beat behind what answers have told.
            if model.version > belief.version(&model.model) {
                belief.set_version(&model.model, model.version);
            }
        }
        let changed = belief.entry.draining != entry.draining;
        belief.entry = entry;
        changed
    }

    /// Removes an engine that left the list.
    pub fn unlist(&mut self, id: &str) -> Option<Belief> {
        self.engines.remove(id)
    }

    /// Keeps only the engines named, after the list was read in full.
    pub fn retain(&mut self, mut listed: impl FnMut(&str) -> bool) {
        self.engines.retain(|id, _| listed(id));
    }

    /// Returns one engine.
    pub fn get(&self, id: &str) -> Option<&Belief> {
        self.engines.get(id)
    }

    /// Returns one engine.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Belief> {
        self.engines.get_mut(id)
    }

    /// Returns all engines in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Belief> + Clone {
        self.engines.values()
    }

    /// Returns the engines of a service that take new work.
    pub fn takers<'a>(
        &'a self,
        service: &'a str,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a Belief> + Clone {
        self.engines.values().filter(move |belief| {
            belief.entry.service == service
                && !belief.entry.draining
                && belief
                    .leaving_since_ms
                    .is_none_or(|since_ms| now_ms > since_ms + LEAVING_MS)
        })
    }

    /// Takes over what a peer has sent to each engine.
    pub fn peer_load(&mut self, peer: &str, loads: &[(String, Load)]) {
        let loads = loads.iter().cloned().collect();
        self.peer_loads.insert(peer.to_owned(), loads);
        self.add_up();
    }

    /// Forgets a peer's work, once the peer is gone.
    pub fn forget_peer(&mut self, peer: &str) {
        if self.peer_loads.remove(peer).is_some() {
            self.add_up();
        }
    }

    /// Takes over which shared parts engines have read for a peer.
    pub fn placed(&mut self, placed: &[(u64, u32)], now_ms: u64) {
        for &(part, hash) in placed {
            let mut engines = self.engines.iter_mut();
            if let Some((_, belief)) = engines.find(|(id, _)| short_hash(id) == hash) {
                belief.note_part(part, now_ms);
            }
        }
    }

    /// Returns the engines that don't answer this instance.
    pub fn silent(&self) -> Vec<String> {
        self.engines
            .iter()
            .filter(|(_, belief)| belief.health.is_silent())
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns what this instance has sent to each engine, for its peers.
    pub fn own_loads(&self) -> Vec<(String, Load)> {
        self.engines
            .iter()
            .filter(|(_, belief)| belief.own != Load::default())
            .map(|(id, belief)| (id.clone(), belief.own))
            .collect()
    }

    fn add_up(&mut self) {
        for (id, belief) in &mut self.engines {
            let mut others = Load::default();
            for loads in self.peer_loads.values() {
                others.add(loads.get(id).copied().unwrap_or_default());
            }
            belief.others = others;
        }
    }
}
