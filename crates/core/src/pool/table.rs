use {
    super::{Belief, EngineEntry, Load, Standing, ToldLeaving, rendezvous},
    std::collections::{BTreeMap, HashMap, VecDeque},
};

/// Longest time for which an answer that told of leaving is believed without
/// the list saying so. Engines also close connections at other times.
const LEAVING_MS: u64 = 4_000;

/// Time for which peers are told of an engine that has left the list. Beyond
/// that their own reading of the list, which may lag by seconds, has it too.
const TELL_GONE_MS: u64 = 6_000;

/// Starts of engines told of as leaving, so that a heartbeat fits a datagram.
const MOST_LEAVING: usize = 64;

/// Returns a short hash of an engine's name, for peers.
pub fn short_hash(id: &str) -> u32 {
    rendezvous(0, id) as u32
}

/// An engine that has left the list.
#[derive(Debug)]
struct Gone {
    hash: u32,
    since_ms: u64,
}

/// Engines that are listed, and what is believed of each.
#[derive(Debug, Default)]
pub struct EngineTable {
    engines: BTreeMap<String, Belief>,
    gone: VecDeque<Gone>,
    peer_loads: HashMap<String, HashMap<String, Load>>,
    list_revision: u64,
    list_heard_ms: u64,
}

impl EngineTable {
    /// Notes that the store answered, and that the list is known up to a
    /// revision.
    pub fn listed_up_to(&mut self, revision: u64, now_ms: u64) {
        self.list_revision = self.list_revision.max(revision);
        self.list_heard_ms = now_ms;
    }

    /// Returns what list and peers say of whether an engine is there.
    pub fn standing(&self, id: &str, now_ms: u64) -> Option<Standing> {
        let belief = self.engines.get(id)?;
        let told = belief.leaving_told.as_ref();
        Some(Standing {
            entry_revision: belief.entry.revision,
            list_revision: self.list_revision,
            list_age_ms: now_ms.saturating_sub(self.list_heard_ms),
            missing_ms: belief
                .missing_since_ms
                .map(|since_ms| now_ms.saturating_sub(since_ms)),
            told_by: told.map(|told| told.peer.clone()),
            told_ago_ms: told.map(|told| now_ms.saturating_sub(told.at_ms)),
        })
    }

    /// Takes over an entry. A new start under the same name, or another
    /// address, begins with nothing believed.
    ///
    /// Returns whether anything but the engine's models changed.
    pub fn list(&mut self, entry: EngineEntry) -> bool {
        let id = entry.incarnation.id.clone();
        let hash = entry.incarnation.short_hash();
        self.gone.retain(|gone| gone.hash != hash);
        let others = self.sent_by_peers(&id);
        let Some(belief) = self.engines.get_mut(&id) else {
            let mut belief = Belief::new(entry);
            belief.others = others;
            self.engines.insert(id, belief);
            return true;
        };
        let same = belief.entry.incarnation == entry.incarnation
            && belief.entry.address == entry.address
            && belief.entry.service == entry.service;
        if !same {
            let own = belief.own;
            *belief = Belief::new(entry);
            belief.own = own;
            belief.others = others;
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
        belief.missing_since_ms = None;
        belief.missing_until_ms = None;
        changed
    }

    /// Removes an engine that left the list. Returns whether it is gone now.
    ///
    /// Entries lapse while the store is away, as engines can't renew them, and
    /// come back within seconds of its return. Without a grace all engines were
    /// gone for that time and every request was refused; with `keep_until_ms`
    /// an engine is used until then, and whether it answers shows itself.
    pub fn unlist(&mut self, id: &str, keep_until_ms: Option<u64>, now_ms: u64) -> bool {
        let Some(belief) = self.engines.get_mut(id) else {
            return false;
        };
        if let Some(until_ms) = keep_until_ms.filter(|until_ms| now_ms < *until_ms) {
            belief.missing_since_ms.get_or_insert(now_ms);
            belief.missing_until_ms = Some(until_ms);
            return false;
        }
        let hash = belief.entry.incarnation.short_hash();
        self.engines.remove(id);
        self.gone.push_back(Gone {
            hash,
            since_ms: now_ms,
        });
        if self.gone.len() > MOST_LEAVING {
            self.gone.pop_front();
        }
        true
    }

    /// Removes an engine whose entry can't be read. It may be another writer's
    /// doing, so peers aren't told that the engine has left.
    pub fn refuse(&mut self, id: &str) {
        self.engines.remove(id);
    }

    /// Returns the engines that a whole reading of the list lacks.
    pub fn unlisted(&self, is_listed: impl Fn(&str) -> bool) -> Vec<String> {
        let ids = self.engines.keys().filter(|id| !is_listed(id));
        ids.cloned().collect()
    }

    /// Returns the engines that the list still lacks when their grace is over.
    pub fn missing(&self, now_ms: u64) -> Vec<String> {
        let over = |belief: &Belief| belief.missing_until_ms.is_some_and(|ms| now_ms >= ms);
        let missing = self.engines.iter().filter(|(_, belief)| over(belief));
        missing.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the starts of engines that leave or have left, for peers.
    pub fn leaving(&self, now_ms: u64) -> Vec<u32> {
        let listed = self.engines.values().filter(|belief| belief.entry.draining);
        let draining = listed.map(|belief| belief.entry.incarnation.short_hash());
        let gone = self.gone.iter().rev();
        let gone = gone.take_while(|gone| now_ms < gone.since_ms + TELL_GONE_MS);
        gone.map(|gone| gone.hash)
            .chain(draining)
            .take(MOST_LEAVING)
            .collect()
    }

    /// Takes a peer's word that engines leave. It reads a current list; the one
    /// read here may lag, and its engines would get work after their time.
    ///
    /// Returns the engines of which no peer had said so before.
    pub fn told_leaving(&mut self, peer: &str, starts: &[u32], now_ms: u64) -> Vec<String> {
        let mut first_told = Vec::new();
        if starts.is_empty() {
            return first_told;
        }
        for (id, belief) in &mut self.engines {
            if !starts.contains(&belief.entry.incarnation.short_hash()) {
                continue;
            }
            belief.leaving_since_ms = Some(now_ms);
            let told = ToldLeaving {
                peer: peer.to_owned(),
                at_ms: now_ms,
            };
            if belief.leaving_told.replace(told).is_none() {
                first_told.push(id.clone());
            }
        }
        first_told
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
        self.forget_peer(peer);
        for (id, load) in loads {
            if let Some(belief) = self.engines.get_mut(id) {
                belief.others.add(*load);
            }
        }
        let loads = loads.iter().cloned().collect();
        self.peer_loads.insert(peer.to_owned(), loads);
    }

    /// Forgets a peer's work, once the peer is gone.
    pub fn forget_peer(&mut self, peer: &str) {
        for (id, load) in self.peer_loads.remove(peer).unwrap_or_default() {
            if let Some(belief) = self.engines.get_mut(&id) {
                belief.others.remove(load);
            }
        }
    }

    /// Takes over which shared parts engines have read for a peer.
    pub fn placed(&mut self, placed: &[(u64, u32)], now_ms: u64) {
        for &(part, hash) in placed {
            let mut engines = self.engines.values_mut();
            if let Some(belief) = engines.find(|belief| belief.name_hash == hash) {
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

    /// Returns what all peers have sent to one engine.
    fn sent_by_peers(&self, id: &str) -> Load {
        let mut others = Load::default();
        for loads in self.peer_loads.values() {
            others.add(loads.get(id).copied().unwrap_or_default());
        }
        others
    }
}
