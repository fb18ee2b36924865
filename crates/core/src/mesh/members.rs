use {
    super::{GROUPS_VERSION, Heartbeat, MeshSettings, PACKS_VERSION},
    crate::pool::rendezvous,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        rc::Rc,
    },
};

/// Weight of one pack in the mean size of heartbeats. At three hundred instances about
/// a hundred packs arrive a second.
const PACK_SIZE_WEIGHT: f64 = 0.01;

/// Number of heartbeats within a group for each pack that it sends.
const HEARTBEATS_PER_PACK: u64 = 3;

/// Number of packs that may be lost before the peers in them count as silent, plus a
/// half for the time between two heartbeats of the instance that sends the next one.
const SILENT_AFTER_PACKS: f64 = 4.5;

/// Time within which a heartbeat reaches all instances of a large fleet, in milliseconds.
const MAX_HEARTBEAT_DELAY_MS: u64 = 1_000;

/// A peer and its last heartbeat.
#[derive(Debug, Clone)]
pub struct Member {
    /// The newest heartbeat that was received from the peer.
    pub last_heartbeat: Rc<Heartbeat>,
    /// When that heartbeat was received.
    pub received_ms: u64,
    /// Version of the exchange that the peer understands; see
    /// [`super::EXCHANGE_VERSION`].
    pub exchange_version: u8,
    /// When the peer last said that it sent a pack.
    packed_ms: Option<u64>,
}

/// Addresses to which one heartbeat is sent.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Targets {
    /// Peers that do not relay the heartbeat.
    pub direct: Vec<SocketAddr>,
    /// Peers that relay the heartbeat within their failure domain.
    pub relays: Vec<SocketAddr>,
    /// Peers of the own failure domain that receive the packs of this instance's group
    /// only.
    pub near: Vec<SocketAddr>,
    /// Peers of the own failure domain that pass these packs on to their groups, if
    /// they are passed on so.
    pub group_relays: Vec<SocketAddr>,
}

/// The start of a peer that announced its stop.
#[derive(Debug, Clone, Copy)]
struct Stopped {
    incarnation: u64,
    peer_address: SocketAddr,
    received_ms: u64,
}

/// Peers of this instance, by name, and addresses at which a peer may listen.
#[derive(Debug, Default)]
pub struct MemberTable {
    own_name: String,
    own_domain: String,
    members: BTreeMap<String, Member>,
    candidates_since_ms: HashMap<SocketAddr, u64>,
    /// Peers that have stopped. Heartbeats that they sent before may still be
    /// in transit, and other peers name their addresses until they know of the
    /// stop. A stopped peer that was added again would have a part of the rates
    /// reserved until it expires.
    stopped: HashMap<String, Stopped>,
    /// Mean size of the heartbeats in packs that were received lately.
    mean_packed_bytes: f64,
}

/// Returns whether a heartbeat is of a later start of its sender than the one with the
/// incarnation `known`, which was last heard at `heard_ms`.
///
/// Incarnations are numbered by the time of day. If an instance restarts after its clock was
/// set back, the later start has the lower number; but it began after the earlier one was
/// last heard, and it is still heard when no heartbeat of that one can be on its way.
fn is_later_start(heartbeat: &Heartbeat, known: u64, heard_ms: u64, now_ms: u64) -> bool {
    let started_ms = now_ms.saturating_sub(u64::from(heartbeat.up_ms));
    let is_after = started_ms > heard_ms && now_ms > heard_ms + MAX_HEARTBEAT_DELAY_MS;
    heartbeat.incarnation > known || heartbeat.incarnation < known && is_after
}

impl MemberTable {
    /// Returns an empty table of the instance `own_name` in a failure domain.
    pub fn new(own_name: &str, own_domain: &str) -> MemberTable {
        MemberTable {
            own_name: own_name.to_owned(),
            own_domain: own_domain.to_owned(),
            ..MemberTable::default()
        }
    }

    /// Adds an address at which a peer may listen.
    pub fn add_candidate(&mut self, address: SocketAddr, now_ms: u64) {
        self.candidates_since_ms.entry(address).or_insert(now_ms);
    }

    /// Stores a heartbeat, and adds the peer addresses in it as candidates.
    ///
    /// Returns `false` for a heartbeat that is older than the last one of its
    /// sender or belongs to a start that has stopped.
    pub fn receive(&mut self, heartbeat: impl Into<Rc<Heartbeat>>, now_ms: u64) -> bool {
        let heartbeat = heartbeat.into();
        let is_out_of_date = |stopped: &Stopped| {
            !is_later_start(&heartbeat, stopped.incarnation, stopped.received_ms, now_ms)
        };
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
            let last = &member.last_heartbeat;
            let is_newer = match heartbeat.incarnation == last.incarnation {
                true => heartbeat.sequence > last.sequence,
                false => is_later_start(&heartbeat, last.incarnation, member.received_ms, now_ms),
            };
            if !is_newer {
                return false;
            }
        }
        let name = heartbeat.name.clone();
        if heartbeat.stopped {
            // A stopped peer spends and runs nothing more, so nothing has to be
            // reserved for it.
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
        let before = self.members.get(&name);
        let member = Member {
            last_heartbeat: heartbeat,
            received_ms: now_ms,
            exchange_version: before.map_or(0, |member| member.exchange_version),
            packed_ms: before.and_then(|member| member.packed_ms),
        };
        self.members.insert(name, member);
        true
    }

    /// Records the version of the exchange that a peer understands, as a message
    /// from itself says.
    pub fn set_exchange_version(&mut self, name: &str, version: u8) {
        if let Some(member) = self.members.get_mut(name) {
            member.exchange_version = version;
        }
    }

    /// Records the size of a pack that was received.
    pub fn record_pack_size(&mut self, bytes: usize, heartbeats: usize) {
        let mean = bytes as f64 / heartbeats.max(1) as f64;
        if self.mean_packed_bytes == 0.0 {
            self.mean_packed_bytes = mean;
        }
        self.mean_packed_bytes += (mean - self.mean_packed_bytes) * PACK_SIZE_WEIGHT;
    }

    /// Records that a peer has sent a pack.
    pub fn record_pack(&mut self, name: &str, now_ms: u64) {
        if let Some(member) = self.members.get_mut(name) {
            member.packed_ms = Some(now_ms);
        }
    }

    /// Removes peers that were silent for longer than `gone_after_ms` and
    /// returns their names. Also drops old candidate addresses and records of
    /// stopped peers.
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

    /// Returns where to send a heartbeat: to known peers and to candidate
    /// addresses. `turn` grows with each heartbeat and selects the relays and,
    /// in a large fleet, the candidate addresses; `group_turn` selects those who pass
    /// packs on to their groups.
    pub fn targets(
        &self,
        own_domain: &str,
        turn: u64,
        group_turn: u64,
        settings: &MeshSettings,
        now_ms: u64,
    ) -> Targets {
        let candidates = self.candidates(settings, now_ms);
        if self.is_discovering(candidates.len(), settings) {
            let mut known = candidates;
            known.extend(self.addresses());
            return Targets {
                direct: rotate(&known, settings.max_direct_peers, turn).collect(),
                ..Targets::default()
            };
        }
        if self.members.len() + candidates.len() <= settings.max_direct_peers {
            return Targets {
                direct: self.addresses().chain(candidates).collect(),
                ..Targets::default()
            };
        }
        let (near, far): (Vec<&Member>, Vec<&Member>) = self
            .members
            .values()
            .partition(|member| member.last_heartbeat.domain == own_domain);
        let silence = Silence::new(self, settings);
        let (direct, near): (Vec<&Member>, Vec<&Member>) = near
            .into_iter()
            .partition(|member| silence.group.is_none() || silence.is_near(member));
        let address = |member: &Member| member.last_heartbeat.peer_address;
        let direct = direct.into_iter().map(address);
        let (near, group_relays) = match self.uses_groups(settings) {
            true => (Vec::new(), self.group_relays(group_turn, settings, now_ms)),
            false => (near, Vec::new()),
        };
        Targets {
            direct: direct
                .chain(rotate(&candidates, settings.max_direct_peers, turn))
                .collect(),
            relays: relays(&far, self.relay_turn(turn), &silence, now_ms),
            near: near.into_iter().map(address).collect(),
            group_relays,
        }
    }

    /// Returns whether most peers of a large fleet are still unknown. If all instances
    /// of a fleet that starts had their heartbeats relayed before they know enough peers
    /// to send them in packs, each would receive thousands of datagrams a second.
    fn is_discovering(&self, candidates: usize, settings: &MeshSettings) -> bool {
        let known = self.members.len();
        known <= settings.max_relayed_peers && known + candidates > settings.max_relayed_peers
    }

    fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let members = self.members.values();
        members.map(|member| member.last_heartbeat.peer_address)
    }

    /// Returns the turn by which this instance selects relays. Instances that started
    /// together send their heartbeats in step; without an offset of its own for each,
    /// all would select the same relay at the same time.
    fn relay_turn(&self, turn: u64) -> u64 {
        rendezvous(0, &self.own_name).wrapping_add(turn)
    }

    /// Returns the addresses of the peers in a failure domain, to which
    /// heartbeats from other domains are relayed.
    pub fn in_domain<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = SocketAddr> + 'a {
        let near = self.members.values();
        near.filter(move |member| member.last_heartbeat.domain == domain)
            .map(|member| member.last_heartbeat.peer_address)
    }

    /// Returns the addresses of the peers in a failure domain that understand a version
    /// of the exchange. Others would log each message that they can't decode.
    pub fn in_domain_with<'a>(
        &'a self,
        domain: &'a str,
        version: u8,
    ) -> impl Iterator<Item = SocketAddr> + 'a {
        let members = self.members.values();
        members
            .filter(move |member| {
                member.last_heartbeat.domain == domain && member.exchange_version >= version
            })
            .map(|member| member.last_heartbeat.peer_address)
    }

    /// Returns the candidate addresses that are not those of a known peer and
    /// have not timed out.
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

    /// Returns the store revision up to which all peers know the engine list,
    /// or `u64::MAX` if none has read it. Peers that have not read it yet are
    /// not counted.
    pub fn engines_revision(&self) -> u64 {
        let members = self.members.values();
        let revisions = members.map(|member| member.last_heartbeat.engines_revision);
        let known = revisions.filter(|&revision| revision > 0);
        known.min().unwrap_or(u64::MAX)
    }

    /// Returns the number of peers to expect: the number of known peers or of
    /// candidate addresses, whichever is larger.
    pub fn expected(&self) -> usize {
        self.members.len().max(self.candidates_since_ms.len())
    }

    /// Returns the number of peers to expect besides this instance, whose own address peers
    /// name as well.
    pub fn expected_besides(&self, own_address: SocketAddr) -> usize {
        let names_own = self.candidates_since_ms.contains_key(&own_address);
        let candidates = self.candidates_since_ms.len() - usize::from(names_own);
        self.members.len().max(candidates)
    }

    /// Returns all peers that have not expired, live or silent.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the live peers: those with a heartbeat within the last
    /// `silent_after_ms`, or of a few packs for those that are received in packs.
    pub fn live(&self, settings: &MeshSettings, now_ms: u64) -> impl Iterator<Item = &Member> {
        let silence = Silence::new(self, settings);
        self.members
            .values()
            .filter(move |member| silence.is_live(member, now_ms))
    }

    /// Returns the incarnation in the last heartbeat of a peer; `None` for an
    /// unknown peer.
    pub fn incarnation(&self, name: &str) -> Option<u64> {
        Some(self.members.get(name)?.last_heartbeat.incarnation)
    }

    /// Returns the number of live peers whose name sorts before `own_name` and
    /// whose last heartbeat satisfies `holds`.
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

    /// Returns up to `count` live peers that read the store, the first by name.
    pub fn first_readers(
        &self,
        count: usize,
        settings: &MeshSettings,
        now_ms: u64,
    ) -> impl Iterator<Item = &Member> {
        self.live(settings, now_ms)
            .filter(|member| member.last_heartbeat.has_store)
            .take(count)
    }

    /// Returns one live peer of each other failure domain that understands a version
    /// of the exchange, a different one for each turn.
    pub fn relays(
        &self,
        version: u8,
        turn: u64,
        settings: &MeshSettings,
        now_ms: u64,
    ) -> Vec<SocketAddr> {
        let far = self.members.values().filter(|member| {
            member.last_heartbeat.domain != self.own_domain && member.exchange_version >= version
        });
        let far: Vec<&Member> = far.collect();
        relays(&far, turn, &Silence::new(self, settings), now_ms)
    }

    /// Returns whether a peer is live; `None` for a peer that is unknown or has
    /// expired. [`MemberTable::liveness`] costs less for many peers.
    pub fn is_live(&self, name: &str, settings: &MeshSettings, now_ms: u64) -> Option<bool> {
        self.liveness(settings, now_ms).of(name)
    }

    /// Returns which peers are live at this time.
    pub fn liveness(&self, settings: &MeshSettings, now_ms: u64) -> Liveness<'_> {
        Liveness {
            members: &self.members,
            silence: Silence::new(self, settings),
            now_ms,
        }
    }

    /// Returns the live peers that receive each heartbeat of this instance; in a large
    /// fleet those of the own group only.
    pub fn direct_receivers(
        &self,
        settings: &MeshSettings,
        now_ms: u64,
    ) -> impl Iterator<Item = &Member> {
        let silence = Silence::new(self, settings);
        let group = silence.group.clone();
        let is_direct = move |member: &&Member| {
            let name = member.last_heartbeat.name.as_str();
            group.as_ref().is_none_or(|names| names.contains(&name))
        };
        let live = move |member: &&Member| silence.is_live(member, now_ms);
        self.members.values().filter(is_direct).filter(live)
    }

    /// Returns whether a new peer is answered at once. A large fleet that starts would
    /// otherwise send a heartbeat to all for each peer that any of them finds.
    pub fn answers_new_peers(&self, settings: &MeshSettings) -> bool {
        self.members.len() <= settings.max_relayed_peers
    }

    /// Returns whether all known peers understand a version of the exchange. During
    /// an upgrade some don't, and all get what the oldest of them understands.
    pub fn all_understand(&self, version: u8) -> bool {
        let mut members = self.members.values();
        members.all(|member| member.exchange_version >= version)
    }

    /// Returns whether heartbeats to other failure domains are sent in packs.
    pub fn uses_packs(&self, settings: &MeshSettings) -> bool {
        self.members.len() > settings.max_relayed_peers && self.all_understand(PACKS_VERSION)
    }

    /// Returns the interval at which heartbeats of all peers arrive.
    pub fn report_interval_ms(&self, settings: &MeshSettings) -> u64 {
        match self.uses_packs(settings) {
            true => self.pack_interval_ms(settings),
            false => settings.heartbeat_interval_ms,
        }
    }

    /// Returns the interval between two packs of the same heartbeats. It counts peers
    /// that are only listed, too, so that packs are no more frequent while a fleet
    /// starts.
    pub fn pack_interval_ms(&self, settings: &MeshSettings) -> u64 {
        let members = self.members.values();
        let far = members.filter(|member| member.last_heartbeat.domain != self.own_domain);
        let expected = self.expected();
        let expected_far = far.count() * expected / self.members.len().max(1);
        let by_count_ms = expected_far * 1_000 / settings.max_far_heartbeats_per_s.max(1);
        let all_bytes = self.mean_packed_bytes * (expected + 1) as f64;
        let by_bytes_ms = all_bytes * 1_000.0 / settings.max_heartbeat_bytes_per_s;
        let interval_ms = (by_count_ms as u64).max(by_bytes_ms as u64);
        interval_ms.max(settings.heartbeat_interval_ms)
    }

    /// Returns the peers whose heartbeats this instance should send in one pack with
    /// its own, or `None` if no pack is due.
    ///
    /// The instances of a failure domain form groups by name, which all of them
    /// compute alike. Only those of a group send each other each heartbeat. Whoever of a group sends its heartbeat first after the interval
    /// sends the pack, and tells the others with that heartbeat; so no instance has
    /// this task alone, and a lost one is replaced at the next heartbeat.
    ///
    /// Only fresh heartbeats are included: an older one would keep a lost peer alive
    /// for others.
    pub fn pack(
        &self,
        last_own_pack_ms: Option<u64>,
        settings: &MeshSettings,
        now_ms: u64,
    ) -> Option<Vec<&Member>> {
        let group = self.group(settings);
        let packed_by_others = group.iter().filter_map(|member| member.packed_ms);
        let last_pack_ms = packed_by_others.chain(last_own_pack_ms).max();
        let interval_ms = self.pack_interval_ms(settings);
        if last_pack_ms.is_some_and(|last_ms| now_ms < last_ms + interval_ms) {
            return None;
        }
        let max_age_ms = 2 * self.heartbeat_interval_ms(settings) + settings.min_interval_ms;
        let is_fresh = |member: &&Member| now_ms <= member.received_ms + max_age_ms;
        Some(group.into_iter().filter(is_fresh).collect())
    }

    /// Returns the other instances of the own group.
    fn group(&self, settings: &MeshSettings) -> Vec<&Member> {
        let size = settings.max_pack_size.max(1);
        let near = self.near();
        let first = self.own_index(&near) / size * size;
        let end = (first + size - 1).min(near.len());
        near[first..end].to_vec()
    }

    fn near(&self) -> Vec<&Member> {
        let members = self.members.values();
        members
            .filter(|member| member.last_heartbeat.domain == self.own_domain)
            .collect()
    }

    /// Returns the position of this instance, which is not among its members, in its
    /// failure domain.
    fn own_index(&self, near: &[&Member]) -> usize {
        let is_before = |member: &&&Member| member.last_heartbeat.name < self.own_name;
        near.iter().take_while(is_before).count()
    }

    /// Returns the addresses of the own group, to which the heartbeats of others are
    /// passed on.
    pub fn group_addresses(&self, settings: &MeshSettings) -> Vec<SocketAddr> {
        let group = self.group(settings).into_iter();
        group
            .map(|member| member.last_heartbeat.peer_address)
            .collect()
    }

    /// Returns one instance of each other group of the own failure domain, which
    /// passes packs on to its group. All who ask at the same turn choose the same ones,
    /// so that these pass on many packs at once.
    pub fn group_relays(&self, turn: u64, settings: &MeshSettings, now_ms: u64) -> Vec<SocketAddr> {
        let size = settings.max_pack_size.max(1);
        let near = self.near();
        let own_index = self.own_index(&near);
        let mut groups: BTreeMap<usize, Vec<&Member>> = BTreeMap::new();
        for (index, member) in near.into_iter().enumerate() {
            let position = index + usize::from(index >= own_index);
            groups.entry(position / size).or_default().push(member);
        }
        groups.remove(&(own_index / size));
        let silence = Silence::new(self, settings);
        let relays = groups.into_values().filter_map(|members| {
            let is_live = |member: &&&Member| silence.is_live(member, now_ms);
            let live: Vec<&Member> = members.iter().filter(is_live).copied().collect();
            // Two groups that take each other for silent would remain so.
            let eligible = if live.is_empty() { members } else { live };
            let by_turn = |member: &&Member| rendezvous(turn, &member.last_heartbeat.name);
            let relay = eligible.into_iter().max_by_key(by_turn);
            relay.map(|member| member.last_heartbeat.peer_address)
        });
        relays.collect()
    }

    /// Returns whether packs are passed on by groups.
    pub fn uses_groups(&self, settings: &MeshSettings) -> bool {
        self.uses_packs(settings) && self.all_understand(GROUPS_VERSION)
    }

    /// Returns the interval between two heartbeats of this instance. Those of a fleet
    /// so large that packs are rare needn't be more frequent than what its group makes
    /// of them.
    pub fn heartbeat_interval_ms(&self, settings: &MeshSettings) -> u64 {
        let by_packs_ms = match self.uses_groups(settings) {
            true => self.pack_interval_ms(settings) / HEARTBEATS_PER_PACK,
            false => 0,
        };
        by_packs_ms.max(settings.heartbeat_interval_ms)
    }
}

/// Which peers are live at one moment. The intervals at which their heartbeats arrive
/// depend on all peers, so they are computed once for many questions.
pub struct Liveness<'a> {
    members: &'a BTreeMap<String, Member>,
    silence: Silence<'a>,
    now_ms: u64,
}

impl Liveness<'_> {
    /// Returns whether a peer is live; `None` for a peer that is unknown or has
    /// expired.
    pub fn of(&self, name: &str) -> Option<bool> {
        let member = self.members.get(name)?;
        Some(self.silence.is_live(member, self.now_ms))
    }
}

/// The silence after which a peer is no longer live: of those that send each heartbeat
/// directly, and of the others.
struct Silence<'a> {
    own_domain: &'a str,
    /// Names of the own group, if heartbeats of others arrive in packs.
    group: Option<Vec<&'a str>>,
    near_ms: u64,
    far_ms: u64,
}

impl Silence<'_> {
    fn new<'a>(table: &'a MemberTable, settings: &MeshSettings) -> Silence<'a> {
        let by_heartbeats_ms = table.heartbeat_interval_ms(settings) as f64 * SILENT_AFTER_PACKS;
        let near_ms = settings.silent_after_ms.max(by_heartbeats_ms as u64);
        let far_ms = (table.report_interval_ms(settings) as f64 * SILENT_AFTER_PACKS) as u64;
        let group = table.uses_packs(settings).then(|| {
            let group = table.group(settings).into_iter();
            group
                .map(|member| member.last_heartbeat.name.as_str())
                .collect()
        });
        Silence {
            own_domain: &table.own_domain,
            group,
            near_ms,
            far_ms: far_ms.max(near_ms),
        }
    }

    fn is_near(&self, member: &Member) -> bool {
        match &self.group {
            Some(names) => names.contains(&member.last_heartbeat.name.as_str()),
            None => member.last_heartbeat.domain == self.own_domain,
        }
    }

    fn is_live(&self, member: &Member, now_ms: u64) -> bool {
        let silent_after_ms = match self.is_near(member) {
            true => self.near_ms,
            false => self.far_ms,
        };
        now_ms <= member.received_ms + silent_after_ms
    }
}

/// Returns up to `max` of the addresses, a different selection for each turn.
fn rotate(addresses: &[SocketAddr], max: usize, turn: u64) -> impl Iterator<Item = SocketAddr> {
    let first = (turn as usize).wrapping_mul(max) % addresses.len().max(1);
    let some = addresses.iter().cycle().skip(first);
    some.take(addresses.len().min(max)).copied()
}

/// Returns one peer of each other failure domain, a different one for each
/// turn.
///
/// Only live peers are selected, since a silent one may not relay. If a domain
/// has no live peer, a silent one is used.
fn relays(far: &[&Member], turn: u64, silence: &Silence<'_>, now_ms: u64) -> Vec<SocketAddr> {
    let mut domains: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for &member in far {
        let domain = domains
            .entry(member.last_heartbeat.domain.as_str())
            .or_default();
        domain.push(member);
    }
    let relays = domains.into_values().filter_map(|members| {
        let is_live = |member: &&&Member| silence.is_live(member, now_ms);
        let live: Vec<&Member> = members.iter().filter(is_live).copied().collect();
        let eligible = if live.is_empty() { members } else { live };
        let index = turn as usize % eligible.len().max(1);
        eligible
            .get(index)
            .map(|member| member.last_heartbeat.peer_address)
    });
    relays.collect()
}
