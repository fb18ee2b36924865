use {
    super::{
        Departure, EngineEntry, Incarnation, KnownEngine, ListPart, ListingStatus, Load,
        departures::Departures, rendezvous, replacements::Replacements,
    },
    crate::{canary::SoftwareRole, engine_notice::EngineNotices},
    std::collections::{BTreeMap, HashMap, HashSet},
};

/// Whether an engine that is listed and serves has said that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It hasn't.
    Staying,
    /// It has, and serves for a while.
    Departing,
}

/// Returns a short hash of the name of an engine, which peers exchange.
pub fn short_hash(id: &str) -> u32 {
    rendezvous(0, id) as u32
}

/// The listed engines and the known state of each.
#[derive(Debug, Default)]
pub struct EngineTable {
    pub(super) engines: BTreeMap<String, KnownEngine>,
    /// Names of the engines by the short hash that peers use.
    ids_by_hash: HashMap<u32, String>,
    /// Names of the engines by the short hash of their latest start.
    pub(super) ids_by_start: HashMap<u32, String>,
    departures: Departures,
    pub(super) notices: EngineNotices,
    pub(super) replacements: Replacements,
    peer_loads: HashMap<String, HashMap<String, Load>>,
    list_revision: u64,
    list_received_ms: u64,
}

impl EngineTable {
    /// Records that the store answered and that the list is known up to a
    /// revision. Drops the reports of peers that the list now covers.
    pub fn set_list_revision(&mut self, revision: u64, now_ms: u64) {
        self.list_revision = self.list_revision.max(revision);
        self.list_received_ms = now_ms;
        let missing = self.missing_incarnations();
        self.departures.remove_up_to(self.list_revision, &missing);
    }

    /// Returns the revision up to which the list is known; 0 before the first
    /// read.
    pub fn list_revision(&self) -> u64 {
        self.list_revision
    }

    /// Returns the revision after which peers may know more: that of the list,
    /// or that of the oldest entry that the list lacks for an unknown reason.
    pub fn known_revision(&self) -> u64 {
        let engines = self.engines.values();
        let missing = engines.filter(|engine| engine.missing_since_ms.is_some());
        let revisions = missing.map(|engine| engine.entry.revision);
        revisions.fold(self.list_revision, u64::min)
    }

    /// Returns what the list and the peers say about the presence of an engine;
    /// `None` if it is not in the table.
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

    /// Applies an entry of the list. A new incarnation, address, service or software
    /// version resets the known state of the engine, except for the work sent to it.
    ///
    /// Returns whether the engine is new, or one of these or its draining state
    /// changed.
    pub fn apply_entry(&mut self, entry: EngineEntry) -> bool {
        let (id, address) = (entry.incarnation.id.clone(), entry.address);
        let before = self.engines.get(&id).map(|engine| engine.entry.address);
        let has_changed = self.update_entry(entry);
        let (replacements, engines) = (&mut self.replacements, &self.engines);
        if let Some(before) = before.filter(|before| *before != address) {
            replacements.set_listed(&id, before, false, engines);
        }
        replacements.set_listed(&id, address, true, engines);
        has_changed
    }

    fn update_entry(&mut self, entry: EngineEntry) -> bool {
        let id = entry.incarnation.id.clone();
        self.departures.record_entry(&entry);
        let others = self.peer_load(&id);
        let Some(engine) = self.engines.get_mut(&id) else {
            let mut engine = KnownEngine::new(entry);
            engine.others = others;
            self.ids_by_hash.insert(engine.name_hash, id.clone());
            let start = engine.entry.incarnation.short_hash();
            self.ids_by_start.insert(start, id.clone());
            self.engines.insert(id, engine);
            return true;
        };
        let same = engine.entry.incarnation == entry.incarnation
            && engine.entry.address == entry.address
            && engine.entry.service == entry.service
            && engine.entry.software == entry.software;
        if !same {
            if engine.entry.incarnation != entry.incarnation {
                self.departures
                    .record_removal(&engine.entry, entry.revision);
                let former = engine.entry.incarnation.short_hash();
                self.ids_by_start.remove(&former);
                let start = entry.incarnation.short_hash();
                self.ids_by_start.insert(start, id);
            }
            let own = engine.own;
            *engine = KnownEngine::new(entry);
            engine.own = own;
            engine.others = others;
            return true;
        }
        for model in &entry.models {
            // An entry may be up to one heartbeat older than the version in the
            // last answer.
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

    /// Removes an engine that left the list. Returns whether it was removed
    /// now.
    ///
    /// Entries expire while the store is unavailable, as engines cannot renew
    /// them, and are written again within seconds of its return. Without a
    /// grace period, all engines would be gone during that time and every
    /// request would be refused. With `keep_until_ms`, the engine is used until
    /// then; requests show whether it answers. Engines that peers have reported
    /// as departed are not used.
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
        self.remove(id);
        true
    }

    /// Removes an engine whose entry cannot be decoded. Another writer may
    /// have caused it, so no departure is reported to peers.
    pub fn remove_unreadable(&mut self, id: &str) {
        self.remove(id);
    }

    fn remove(&mut self, id: &str) {
        if let Some(engine) = self.engines.remove(id) {
            self.ids_by_hash.remove(&engine.name_hash);
            let start = engine.entry.incarnation.short_hash();
            self.ids_by_start.remove(&start);
            let address = engine.entry.address;
            (self.replacements).set_listed(id, address, false, &self.engines);
        }
    }

    /// Returns the engines that a reading of a part of the list lacks.
    pub fn missing_from(&self, part: &ListPart, listed: &HashSet<&str>) -> Vec<String> {
        let ids = self.engines.keys().map(String::as_str);
        let missing = ids.filter(|id| part.contains(id) && !listed.contains(id));
        missing.map(str::to_owned).collect()
    }

    /// Removes the engines that don't belong to a part of the list. They haven't left,
    /// so peers aren't told.
    pub fn retain_part(&mut self, part: &ListPart) {
        let ids = self.engines.keys().filter(|id| !part.contains(id));
        let outside: Vec<String> = ids.cloned().collect();
        for id in outside {
            self.remove(&id);
        }
    }

    /// Returns the engines that the list still lacks at the end of their grace
    /// period.
    pub fn grace_expired(&self, now_ms: u64) -> Vec<String> {
        let is_over = |engine: &KnownEngine| engine.missing_until_ms.is_some_and(|ms| now_ms >= ms);
        let missing = self.engines.iter().filter(|(_, engine)| is_over(engine));
        missing.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the revision of the newest departure that the list or peers have told of; 0
    /// without any.
    pub fn newest_departure_revision(&self) -> u64 {
        self.departures.newest_revision()
    }

    /// Returns the revision up to which departures are known: that of the list, or of a newer
    /// departure that peers have reported, which report the earlier ones as well.
    pub fn departures_known_up_to(&self) -> u64 {
        self.list_revision.max(self.departures.newest_revision())
    }

    /// Returns the departures for peers that know the list up to a revision.
    pub fn departures(&self, known_revision: u64) -> Vec<Departure> {
        self.departures.since(known_revision)
    }

    /// Applies the departures that a peer reported. The own list may be older,
    /// and the engines would get work after they left.
    ///
    /// Returns the names of the engines that were not known to be departing
    /// before.
    pub fn merge_departures(
        &mut self,
        peer: &str,
        departures: &[Departure],
        now_ms: u64,
    ) -> Vec<String> {
        let mut newly_departing = Vec::new();
        if departures.is_empty() {
            return newly_departing;
        }
        let missing = self.missing_incarnations();
        for &departure in departures {
            if departure.revision <= self.list_revision && !missing.contains(&departure.start) {
                continue;
            }
            if self.departures.merge(peer, departure, now_ms) {
                let id = self.find_incarnation(departure.start);
                newly_departing.extend(id.map(|engine| engine.entry.incarnation.id.clone()));
            }
        }
        newly_departing
    }

    /// Returns the engine with a short hash of its incarnation.
    fn find_incarnation(&self, start: u32) -> Option<&KnownEngine> {
        self.engines.get(self.ids_by_start.get(&start)?)
    }

    /// Returns the incarnations that the list lacks. Peers may know more:
    /// whether the entry expired or the engine has left.
    fn missing_incarnations(&self) -> Vec<u32> {
        let engines = self.engines.values();
        let missing = engines.filter(|engine| engine.missing_since_ms.is_some());
        missing
            .map(|engine| engine.entry.incarnation.short_hash())
            .collect()
    }

    /// Returns the known state of an engine.
    pub fn get(&self, id: &str) -> Option<&KnownEngine> {
        self.engines.get(id)
    }

    /// Returns the known state of an engine.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut KnownEngine> {
        self.engines.get_mut(id)
    }

    /// Returns the known state of a start of an engine; `None` if the engine has started again
    /// since. What was seen of one start says nothing of the next.
    pub fn get_start_mut(&mut self, start: &Incarnation) -> Option<&mut KnownEngine> {
        let engine = self.engines.get_mut(&start.id);
        engine.filter(|engine| engine.entry.incarnation == *start)
    }

    /// Returns whether this start of an engine is the latest known one.
    pub fn has_start(&self, start: &Incarnation) -> bool {
        let engine = self.engines.get(&start.id);
        engine.is_some_and(|engine| engine.entry.incarnation == *start)
    }

    /// Sets what each engine may be used for because of its software version.
    pub fn assign_software_roles(&mut self, mut role: impl FnMut(&EngineEntry) -> SoftwareRole) {
        for engine in self.engines.values_mut() {
            engine.software_role = role(&engine.entry);
        }
    }

    /// Sets for each engine whether its build outlasts all instances. Returns whether all
    /// do.
    pub fn assign_kept_builds(&mut self, mut is_kept: impl FnMut(&KnownEngine) -> bool) -> bool {
        let mut are_all_kept = true;
        for engine in self.engines.values_mut() {
            engine.is_build_kept = is_kept(engine);
            are_all_kept &= engine.is_build_kept;
        }
        are_all_kept
    }

    /// Returns the requests of this instance that run at engines of a service with
    /// another software version than `software`.
    pub fn unfinished_at_others(&self, service: &str, software: &str) -> u32 {
        let engines = self
            .engines
            .values()
            .filter(|engine| engine.entry.service == service && engine.entry.software != software);
        engines.map(|engine| engine.own.requests).sum()
    }

    /// Returns all engines, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &KnownEngine> + Clone {
        self.engines.values()
    }

    /// Returns the engines that neither the list, nor a peer, nor the engine itself reports as
    /// leaving or gone, and at whose addresses no other one listens.
    pub fn staying_engines(&self, now_ms: u64) -> impl Iterator<Item = &KnownEngine> + Clone {
        let engines = self.engines.values();
        engines.filter(move |engine| self.standing(engine, now_ms) == Some(Standing::Staying))
    }

    /// Returns the engines of a service that accept new work.
    pub fn accepting_engines<'a>(
        &'a self,
        service: &'a str,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a KnownEngine> + Clone {
        self.serving_engines(service, Standing::Staying, now_ms)
    }

    /// Returns the engines of a service with a standing that aren't suspected to be gone.
    pub fn serving_engines<'a>(
        &'a self,
        service: &'a str,
        standing: Standing,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a KnownEngine> + Clone {
        self.engines.values().filter(move |engine| {
            engine.entry.service == service && self.standing(engine, now_ms) == Some(standing)
        })
    }

    /// Returns the standing of an engine; `None` if the list or a peer reports it as leaving or
    /// gone, or another one listens at its address.
    fn standing(&self, engine: &KnownEngine, now_ms: u64) -> Option<Standing> {
        let is_gone = engine
            .missing_until_ms
            .is_some_and(|until_ms| now_ms >= until_ms);
        if engine.entry.draining
            || is_gone
            || self.departures.is_reported(&engine.entry)
            || self.is_replaced(engine, now_ms)
        {
            return None;
        }
        let incarnation = &engine.entry.incarnation;
        Some(match self.notices.leaving_since_ms(incarnation) {
            None => Standing::Staying,
            Some(_) => Standing::Departing,
        })
    }

    /// Replaces the work that a peer has reported for each engine.
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

    /// Removes the work of a peer that is gone.
    pub fn remove_peer(&mut self, peer: &str) {
        for (id, load) in self.peer_loads.remove(peer).unwrap_or_default() {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.others.remove(load);
            }
        }
    }

    /// Records the shared parts that engines have read for a peer, as pairs of
    /// part and name hash of the engine.
    pub fn record_peer_parts(&mut self, placed: &[(u64, u32)], now_ms: u64) {
        for &(part, hash) in placed {
            let id = self.ids_by_hash.get(&hash);
            if let Some(engine) = id.and_then(|id| self.engines.get_mut(id)) {
                engine.record_part(part, now_ms);
            }
        }
    }

    /// Returns whether more than half of the engines of a service do not answer this
    /// instance.
    pub fn is_mostly_silent(&self, service: &str, now_ms: u64) -> bool {
        let engines = self.accepting_engines(service, now_ms);
        let (all, silent) = engines.fold((0, 0), |(all, silent), engine| {
            (all + 1, silent + usize::from(engine.health.is_silent()))
        });
        silent * 2 > all
    }

    /// Returns the engines that do not answer this instance.
    pub fn silent_engines(&self) -> impl Iterator<Item = &KnownEngine> {
        let engines = self.engines.values();
        engines.filter(|engine| engine.health.is_silent())
    }

    /// Forgets the failures of a service's engines that this instance has seen. They say
    /// nothing of the engines if the path to them was lost.
    pub fn forget_failures(&mut self, service: &str) {
        let engines = self.engines.values_mut();
        for engine in engines.filter(|engine| engine.entry.service == service) {
            engine.health.forget_failures();
        }
    }

    /// Returns the work that this instance has sent to each engine.
    pub fn own_loads(&self) -> Vec<(String, Load)> {
        self.engines
            .iter()
            .filter(|(_, engine)| engine.own != Load::default())
            .map(|(id, engine)| (id.clone(), engine.own))
            .collect()
    }

    /// Returns the work that all peers have sent to an engine.
    fn peer_load(&self, id: &str) -> Load {
        let mut others = Load::default();
        for loads in self.peer_loads.values() {
            others.add(loads.get(id).copied().unwrap_or_default());
        }
        others
    }
}
