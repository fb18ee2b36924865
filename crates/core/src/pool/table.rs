use {
    super::{
        Departure, EngineEntry, KnownEngine, ListingStatus, Load, departures::Departures,
        rendezvous,
    },
    std::collections::{BTreeMap, HashMap},
};

/// Longest time for which an answer that told of leaving is believed without
/// the list saying so. Engines also close connections at other times.
const LEAVING_REPORT_MS: u64 = 4_000;

/// Returns a short hash of an engine's name, for peers.
pub fn short_hash(id: &str) -> u32 {
    rendezvous(0, id) as u32
}

/// Engines that are listed, and what is believed of each.
#[derive(Debug, Default)]
pub struct EngineTable {
    engines: BTreeMap<String, KnownEngine>,
    departures: Departures,
    peer_loads: HashMap<String, HashMap<String, Load>>,
    list_revision: u64,
    list_received_ms: u64,
}

impl EngineTable {
    /// Notes that the store answered, and that the list is known up to a
    /// revision.
    pub fn set_list_revision(&mut self, revision: u64, now_ms: u64) {
        self.list_revision = self.list_revision.max(revision);
        self.list_received_ms = now_ms;
        let missing = self.missing_starts();
        self.departures.remove_up_to(self.list_revision, &missing);
    }

    /// Returns the revision up to which the list is known; 0 before it was read.
    pub fn list_revision(&self) -> u64 {
        self.list_revision
    }

    /// Returns the revision beyond which peers know more: that of the list, or of
    /// the entry of an engine that the list lacks for an unknown reason.
    pub fn known_revision(&self) -> u64 {
        let engines = self.engines.values();
        let missing = engines.filter(|engine| engine.missing_since_ms.is_some());
        let revisions = missing.map(|engine| engine.entry.revision);
        revisions.fold(self.list_revision, u64::min)
    }

    /// Returns what list and peers say of whether an engine is there.
    pub fn listing_status(&self, id: &str, now_ms: u64) -> Option<ListingStatus> {
        let engine = self.engines.get(id)?;
        let report = self.departures.report_of(&engine.entry);
        Some(ListingStatus {
            entry_revision: engine.entry.revision,
            list_revision: self.list_revision,
            list_age_ms: now_ms.saturating_sub(self.list_received_ms),
            missing_ms: engine
                .missing_since_ms
                .map(|since_ms| now_ms.saturating_sub(since_ms)),
            departure: report.map(|report| report.departure),
            reported_by: report.map(|report| report.peer.clone()),
            reported_ago_ms: report.map(|report| now_ms.saturating_sub(report.at_ms)),
        })
    }

    /// Takes over an entry. A new start under the same name, or another
    /// address, begins with nothing believed.
    ///
    /// Returns whether anything but the engine's models changed.
    pub fn apply_entry(&mut self, entry: EngineEntry) -> bool {
        let id = entry.incarnation.id.clone();
        self.departures.record_entry(&entry);
        let others = self.peer_load(&id);
        let Some(engine) = self.engines.get_mut(&id) else {
            let mut engine = KnownEngine::new(entry);
            engine.others = others;
            self.engines.insert(id, engine);
            return true;
        };
        let same = engine.entry.incarnation == entry.incarnation
            && engine.entry.address == entry.address
            && engine.entry.service == entry.service;
        if !same {
            if engine.entry.incarnation != entry.incarnation {
                self.departures
                    .record_removal(&engine.entry, entry.revision);
            }
            let own = engine.own;
            *engine = KnownEngine::new(entry);
            engine.own = own;
            engine.others = others;
            return true;
        }
        for model in &entry.models {
            // An entry lies up to a beat behind what answers have told.
            if model.version > engine.version(&model.model) {
                engine.set_version(&model.model, model.version);
            }
        }
        let changed = engine.entry.draining != entry.draining;
        engine.entry = entry;
        engine.missing_since_ms = None;
        engine.missing_until_ms = None;
        changed
    }

    /// Removes an engine that left the list. Returns whether it is gone now.
    ///
    /// Entries lapse while the store is away, as engines can't renew them, and
    /// come back within seconds of its return. Without a grace all engines were
    /// gone for that time and every request was refused; with `keep_until_ms`
    /// an engine is used until then, and whether it answers shows itself. Those
    /// that peers saw leave are not used.
    pub fn remove_entry(
        &mut self,
        id: &str,
        revision: u64,
        keep_until_ms: Option<u64>,
        now_ms: u64,
    ) -> bool {
        let Some(engine) = self.engines.get_mut(id) else {
            return false;
        };
        if let Some(until_ms) = keep_until_ms.filter(|until_ms| now_ms < *until_ms) {
            engine.missing_since_ms.get_or_insert(now_ms);
            engine.missing_until_ms = Some(until_ms);
            return false;
        }
        self.departures.record_removal(&engine.entry, revision);
        self.engines.remove(id);
        true
    }

    /// Removes an engine whose entry can't be read. It may be another writer's
    /// doing, so peers aren't told that the engine has left.
    pub fn remove_unreadable(&mut self, id: &str) {
        self.engines.remove(id);
    }

    /// Returns the engines that a whole reading of the list lacks.
    pub fn missing_from(&self, is_listed: impl Fn(&str) -> bool) -> Vec<String> {
        let ids = self.engines.keys().filter(|id| !is_listed(id));
        ids.cloned().collect()
    }

    /// Returns the engines that the list still lacks when their grace is over.
    pub fn grace_expired(&self, now_ms: u64) -> Vec<String> {
        let over = |engine: &KnownEngine| engine.missing_until_ms.is_some_and(|ms| now_ms >= ms);
        let missing = self.engines.iter().filter(|(_, engine)| over(engine));
        missing.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the engines that leave or have left, for peers of which one knows
    /// the list only up to a revision.
    pub fn departures(&self, known_revision: u64) -> Vec<Departure> {
        self.departures.since(known_revision)
    }

    /// Takes over which engines a peer saw leave. The list read here may be
    /// older, and its engines would get work after their time.
    ///
    /// Returns the engines of which that is news.
    pub fn merge_departures(
        &mut self,
        peer: &str,
        departures: &[Departure],
        now_ms: u64,
    ) -> Vec<String> {
        let mut news = Vec::new();
        let missing = self.missing_starts();
        for &departure in departures {
            if departure.revision <= self.list_revision && !missing.contains(&departure.start) {
                continue;
            }
            if self.departures.merge(peer, departure, now_ms) {
                let id = self.started(departure.start);
                news.extend(id.map(|engine| engine.entry.incarnation.id.clone()));
            }
        }
        news
    }

    fn started(&self, start: u32) -> Option<&KnownEngine> {
        let mut engines = self.engines.values();
        engines.find(|engine| engine.entry.incarnation.short_hash() == start)
    }

    /// Returns the starts that the list lacks. Peers may know more of them: whether
    /// their entries lapsed or they left.
    fn missing_starts(&self) -> Vec<u32> {
        let engines = self.engines.values();
        let missing = engines.filter(|engine| engine.missing_since_ms.is_some());
        missing
            .map(|engine| engine.entry.incarnation.short_hash())
            .collect()
    }

    /// Returns one engine.
    pub fn get(&self, id: &str) -> Option<&KnownEngine> {
        self.engines.get(id)
    }

    /// Returns one engine.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut KnownEngine> {
        self.engines.get_mut(id)
    }

    /// Returns all engines in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &KnownEngine> + Clone {
        self.engines.values()
    }

    /// Returns the engines that stay, as far as the list and peers tell.
    pub fn staying_engines(&self, now_ms: u64) -> impl Iterator<Item = &KnownEngine> + Clone {
        self.engines.values().filter(move |engine| {
            let is_gone = engine
                .missing_until_ms
                .is_some_and(|until_ms| now_ms >= until_ms);
            let is_leaving = engine.entry.draining || is_gone;
            !is_leaving && !self.departures.is_reported(&engine.entry)
        })
    }

    /// Returns the engines of a service that take new work.
    pub fn accepting_engines<'a>(
        &'a self,
        service: &'a str,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a KnownEngine> + Clone {
        let staying_engines = self.staying_engines(now_ms);
        staying_engines.filter(move |engine| {
            engine.entry.service == service
                && engine
                    .leaving_since_ms
                    .is_none_or(|since_ms| now_ms > since_ms + LEAVING_REPORT_MS)
        })
    }

    /// Takes over what a peer has sent to each engine.
    pub fn set_peer_load(&mut self, peer: &str, loads: &[(String, Load)]) {
        self.remove_peer(peer);
        for (id, load) in loads {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.others.add(*load);
            }
        }
        let loads = loads.iter().cloned().collect();
        self.peer_loads.insert(peer.to_owned(), loads);
    }

    /// Forgets a peer's work, once the peer is gone.
    pub fn remove_peer(&mut self, peer: &str) {
        for (id, load) in self.peer_loads.remove(peer).unwrap_or_default() {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.others.remove(load);
            }
        }
    }

    /// Takes over which shared parts engines have read for a peer.
    pub fn record_peer_parts(&mut self, placed: &[(u64, u32)], now_ms: u64) {
        for &(part, hash) in placed {
            let mut engines = self.engines.values_mut();
            if let Some(engine) = engines.find(|engine| engine.name_hash == hash) {
                engine.record_part(part, now_ms);
            }
        }
    }

    /// Returns the engines that don't answer this instance.
    pub fn silent_engines(&self) -> Vec<String> {
        self.engines
            .iter()
            .filter(|(_, engine)| engine.health.is_silent())
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns what this instance has sent to each engine, for its peers.
    pub fn own_loads(&self) -> Vec<(String, Load)> {
        self.engines
            .iter()
            .filter(|(_, engine)| engine.own != Load::default())
            .map(|(id, engine)| (id.clone(), engine.own))
            .collect()
    }

    /// Returns what all peers have sent to one engine.
    fn peer_load(&self, id: &str) -> Load {
        let mut others = Load::default();
        for loads in self.peer_loads.values() {
            others.add(loads.get(id).copied().unwrap_or_default());
        }
        others
    }
}
