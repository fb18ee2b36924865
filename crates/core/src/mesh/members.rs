use {
    super::Heartbeat,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
    },
};

/// When a peer counts as silent, and when as gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MeshSettings {
    /// Pause between two heartbeats.
    pub heartbeat_interval_ms: u64,
    /// Silence after which callers are no longer sent to a peer. Four
    /// heartbeats: two may be lost on a bad link.
    pub silent_after_ms: u64,
    /// Silence after which a peer's share of rates is given to others. It may
    /// be serving behind a partition; longer than a window of rates.
    pub gone_after_ms: u64,
    /// Time for which an address is tried that never answered.
    pub candidate_ms: u64,
    /// Peers up to which each gets every heartbeat from its sender. With more
    /// of them, one in each other failure domain gets it and passes it on: what
    /// crosses between domains is paid for, and everybody still hears of
    /// everything within a heartbeat. In turns, those of
    /// a large fleet would hear of each other so seldom that they took each other
    /// for silent.
    pub max_direct_peers: usize,
}

impl Default for MeshSettings {
    fn default() -> MeshSettings {
        MeshSettings {
            heartbeat_interval_ms: 200,
            silent_after_ms: 900,
            gone_after_ms: 30_000,
            candidate_ms: 6_000,
            max_direct_peers: 16,
        }
    }
}

/// One peer, as it told last.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its last heartbeat.
    pub last_heartbeat: Heartbeat,
    /// When that came.
    pub received_ms: u64,
}

/// Where one heartbeat goes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Targets {
    /// Those that keep it to themselves.
    pub direct: Vec<SocketAddr>,
    /// Those that pass it on within their failure domain.
    pub relays: Vec<SocketAddr>,
}

/// The last start of a peer that said that it stops.
#[derive(Debug, Clone, Copy)]
struct Stopped {
    incarnation: u64,
    peer_address: SocketAddr,
    received_ms: u64,
}

/// Peers of this instance.
#[derive(Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<String, Member>,
    candidates_since_ms: HashMap<SocketAddr, u64>,
    /// Older heartbeats of theirs may still be under way, and other peers name
    /// them until they have heard it too. Taken for alive again, such a peer has a
    /// part of the rates set aside until it counts as gone.
    stopped: HashMap<String, Stopped>,
}

impl MemberTable {
    /// Adds an address at which a peer may listen.
    pub fn add_candidate(&mut self, address: SocketAddr, now_ms: u64) {
        self.candidates_since_ms.entry(address).or_insert(now_ms);
    }

    /// Takes over a heartbeat. Returns false for one that is out of date.
    pub fn receive(&mut self, heartbeat: Heartbeat, now_ms: u64) -> bool {
        let is_out_of_date = |stopped: &Stopped| heartbeat.incarnation <= stopped.incarnation;
        if self
            .stopped
            .get(&heartbeat.name)
            .is_some_and(is_out_of_date)
        {
            return false;
        }
        for &address in &heartbeat.peers {
            let mut stopped = self.stopped.values();
            if !stopped.any(|stopped| stopped.peer_address == address) {
                self.add_candidate(address, now_ms);
            }
        }
        if let Some(member) = self.members.get(&heartbeat.name) {
            let old = (
                member.last_heartbeat.incarnation,
                member.last_heartbeat.sequence,
            );
            if (heartbeat.incarnation, heartbeat.sequence) <= old {
                return false;
            }
        }
        let name = heartbeat.name.clone();
        if heartbeat.stopped {
            // What it might still spend or run need not be set aside.
            self.members.remove(&name);
            self.candidates_since_ms.remove(&heartbeat.peer_address);
            let stopped = Stopped {
                incarnation: heartbeat.incarnation,
                peer_address: heartbeat.peer_address,
                received_ms: now_ms,
            };
            self.stopped.insert(name, stopped);
            return true;
        }
        self.stopped
            .retain(|_, stopped| stopped.peer_address != heartbeat.peer_address);
        let member = Member {
            last_heartbeat: heartbeat,
            received_ms: now_ms,
        };
        self.members.insert(name, member);
        true
    }

    /// Removes peers that are gone, and returns their names.
    pub fn expire(&mut self, settings: &MeshSettings, now_ms: u64) -> Vec<String> {
        let gone = |member: &Member| now_ms > member.received_ms + settings.gone_after_ms;
        let names: Vec<String> = self
            .members
            .iter()
            .filter(|(_, member)| gone(member))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &names {
            self.members.remove(name);
        }
        self.candidates_since_ms
            .retain(|_, since_ms| now_ms < *since_ms + 4 * settings.gone_after_ms);
        self.stopped
            .retain(|_, stopped| now_ms <= stopped.received_ms + settings.gone_after_ms);
        names
    }

    /// Returns where a heartbeat goes: to peers that are known, and addresses
    /// that may have one. `turn` grows with each heartbeat.
    pub fn targets(
        &self,
        own_domain: &str,
        turn: u64,
        settings: &MeshSettings,
        now_ms: u64,
    ) -> Targets {
        let candidates = self.candidates(settings, now_ms);
        if self.members.len() + candidates.len() <= settings.max_direct_peers {
            let known = self
                .members
                .values()
                .map(|member| member.last_heartbeat.peer_address);
            return Targets {
                direct: known.chain(candidates).collect(),
                relays: Vec::new(),
            };
        }
        let (near, far): (Vec<&Member>, Vec<&Member>) = self
            .members
            .values()
            .partition(|member| member.last_heartbeat.domain == own_domain);
        let near = near.iter().map(|member| member.last_heartbeat.peer_address);
        Targets {
            direct: near
                .chain(rotate(&candidates, settings.max_direct_peers, turn))
                .collect(),
            relays: relays(&far, turn, settings, now_ms),
        }
    }

    /// Returns the peers of a failure domain, to which a heartbeat from another
    /// one is passed on.
    pub fn in_domain<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = SocketAddr> + 'a {
        let near = self.members.values();
        near.filter(move |member| member.last_heartbeat.domain == domain)
            .map(|member| member.last_heartbeat.peer_address)
    }

    /// Returns the addresses that may have a peer nobody has heard.
    fn candidates(&self, settings: &MeshSettings, now_ms: u64) -> Vec<SocketAddr> {
        let known: HashSet<SocketAddr> = self
            .members
            .values()
            .map(|member| member.last_heartbeat.peer_address)
            .collect();
        let mut candidates: Vec<SocketAddr> = self
            .candidates_since_ms
            .iter()
            .filter(|(address, since_ms)| {
                now_ms < **since_ms + settings.candidate_ms && !known.contains(address)
            })
            .map(|(&address, _)| address)
            .collect();
        candidates.sort();
        candidates
    }

    /// Returns the revision up to which all peers know the list of engines; those
    /// that have yet to read it aren't counted.
    pub fn engines_revision(&self) -> u64 {
        let members = self.members.values();
        let revisions = members.map(|member| member.last_heartbeat.engines_revision);
        let known = revisions.filter(|&revision| revision > 0);
        known.min().unwrap_or(u64::MAX)
    }

    /// Returns how many peers there may be, heard or not.
    pub fn expected(&self) -> usize {
        self.members.len().max(self.candidates_since_ms.len())
    }

    /// Returns all peers that aren't gone.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the peers that were heard just now.
    pub fn live(&self, settings: &MeshSettings, now_ms: u64) -> impl Iterator<Item = &Member> {
        let silent_after_ms = settings.silent_after_ms;
        self.members
            .values()
            .filter(move |member| now_ms <= member.received_ms + silent_after_ms)
    }

    /// Returns which start of a peer was heard last, if it is known.
    pub fn incarnation(&self, name: &str) -> Option<u64> {
        Some(self.members.get(name)?.last_heartbeat.incarnation)
    }

    /// Returns how many of the peers that were heard just now, and of which
    /// something holds, go before an instance by their names.
    pub fn count_live_before(
        &self,
        own_name: &str,
        holds: impl Fn(&Heartbeat) -> bool,
        settings: &MeshSettings,
        now_ms: u64,
    ) -> usize {
        self.live(settings, now_ms)
            .filter(|member| {
                member.last_heartbeat.name.as_str() < own_name && holds(&member.last_heartbeat)
            })
            .count()
    }

    /// Returns whether a peer was heard just now; `None` for one that is gone.
    pub fn is_live(&self, name: &str, settings: &MeshSettings, now_ms: u64) -> Option<bool> {
        let member = self.members.get(name)?;
        Some(now_ms <= member.received_ms + settings.silent_after_ms)
    }
}

/// Returns some of the addresses, others with each turn.
fn rotate(addresses: &[SocketAddr], max: usize, turn: u64) -> impl Iterator<Item = SocketAddr> {
    let first = (turn as usize).wrapping_mul(max) % addresses.len().max(1);
    let some = addresses.iter().cycle().skip(first);
    some.take(addresses.len().min(max)).copied()
}

/// Returns one peer of each other failure domain, another one with each turn.
/// One that was not heard just now may not pass anything on; a domain in which
/// nobody was heard gets it all the same.
fn relays(far: &[&Member], turn: u64, settings: &MeshSettings, now_ms: u64) -> Vec<SocketAddr> {
    let mut domains: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for &member in far {
        let domain = domains
            .entry(member.last_heartbeat.domain.as_str())
            .or_default();
        domain.push(member);
    }
    let relays = domains.into_values().filter_map(|members| {
        let is_live = |member: &&&Member| now_ms <= member.received_ms + settings.silent_after_ms;
        let live: Vec<&Member> = members.iter().filter(is_live).copied().collect();
        let eligible = if live.is_empty() { members } else { live };
        let index = turn as usize % eligible.len().max(1);
        eligible
            .get(index)
            .map(|member| member.last_heartbeat.peer_address)
    });
    relays.collect()
}
