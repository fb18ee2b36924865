//! Heartbeats of fleets with hundreds of instances.

use {
    mangowalk_core::{
        mesh::{
            Bundle, EXCHANGE_VERSION, Heartbeat, MAX_DATAGRAM_BYTES, MemberTable, MeshSettings,
            OrderPhase, OrderReport, PACK_BYTES, PACKS_VERSION, PeerMessage, Targets, TeamReport,
            split_packs,
        },
        poison::CrashReport,
        pool::Load,
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

fn heartbeat(name: &str, domain: &str, address: SocketAddr, sequence: u64) -> Heartbeat {
    Heartbeat {
        name: name.to_owned(),
        incarnation: 1,
        up_ms: 10_000,
        sequence,
        caller_address: address,
        peer_address: address,
        domain: domain.to_owned(),
        ready: true,
        stopped: false,
        has_store: true,
        configuration_version: 1,
        versions: Vec::new(),
        loads: Vec::new(),
        placements: Vec::new(),
        engines_revision: 1,
        departures: Vec::new(),
        silent_engines: Vec::new(),
        crashes: Vec::new(),
        knows_rates: true,
        instances: 2,
        counted_for_ms: 8_000,
        teams: Vec::new(),
        holds_lease: false,
        ordered_ago_ms: None,
        orders: Vec::new(),
        peers: Vec::new(),
    }
}

const DOMAINS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// Time between two steps of a simulated fleet.
const STEP_MS: u64 = 10;

/// Addresses that each instance reads from the platform's list at its start.
const LISTED: usize = 150;

/// Peers named in one heartbeat.
const NAMED: usize = 4;

/// Time for which heartbeats are gathered for a group.
const GATHER_MS: u64 = 150;

/// Instances that exchange heartbeats over a network without delay.
struct Fleet {
    tables: Vec<MemberTable>,
    by_address: HashMap<SocketAddr, usize>,
    pack_ms: Vec<Option<u64>>,
    sequences: Vec<u64>,
    /// Whether an instance neither sends nor receives.
    is_dead: Vec<bool>,
    /// Datagrams that each instance has sent, relayed ones included.
    sent: Vec<usize>,
    /// Datagrams that each instance has received.
    received: Vec<usize>,
    /// When each instance sends its next heartbeat.
    next_ms: Vec<Option<u64>>,
    /// Heartbeats that each instance will pass on to its group, and when.
    bundles: Vec<(Bundle, Option<u64>)>,
    /// When each instance last received a heartbeat of each other one.
    received_ms: Vec<Vec<u64>>,
    /// Longest time between two heartbeats of another instance that arrived.
    max_gap_ms: u64,
    settings: MeshSettings,
}

impl Fleet {
    /// Returns a fleet in which all know each other at 0 ms.
    fn new(instances: usize) -> Fleet {
        let mut fleet = Fleet::unknown(instances);
        for to in 0..instances {
            for from in (0..instances).filter(|from| *from != to) {
                fleet.receive(to, &heartbeat_of(from, 1), 0);
            }
        }
        fleet
    }

    /// Returns a fleet that starts at 0 ms: each instance has the addresses of three
    /// seeds, and of those that follow it in the platform's list.
    fn starting(instances: usize) -> Fleet {
        let mut fleet = Fleet::unknown(instances);
        for (n, table) in fleet.tables.iter_mut().enumerate() {
            let listed = (n + 1..n + 1 + LISTED).map(|other| other % instances);
            for other in listed.chain(0..3).filter(|other| *other != n) {
                table.add_candidate(address(other), 0);
            }
        }
        fleet
    }

    fn unknown(instances: usize) -> Fleet {
        Fleet {
            tables: (0..instances)
                .map(|n| MemberTable::new(&name(n), domain(n)))
                .collect(),
            by_address: (0..instances).map(|n| (address(n), n)).collect(),
            pack_ms: vec![None; instances],
            sequences: vec![1; instances],
            is_dead: vec![false; instances],
            sent: vec![0; instances],
            received: vec![0; instances],
            next_ms: vec![None; instances],
            bundles: (0..instances).map(|_| Default::default()).collect(),
            received_ms: vec![vec![0; instances]; instances],
            max_gap_ms: 0,
            settings: MeshSettings::default(),
        }
    }

    fn receive(&mut self, to: usize, heartbeat: &Heartbeat, now_ms: u64) {
        if self.is_dead[to] || heartbeat.name == name(to) {
            return;
        }
        let table = &mut self.tables[to];
        if table.receive(heartbeat.clone(), now_ms) {
            table.set_exchange_version(&heartbeat.name, EXCHANGE_VERSION);
            let from = self.by_address[&heartbeat.peer_address];
            let received_ms = &mut self.received_ms[to][from];
            self.max_gap_ms = self.max_gap_ms.max(now_ms - *received_ms);
            *received_ms = now_ms;
        }
    }

    /// Sends the heartbeat of one instance, as the gateway does.
    fn send(&mut self, from: usize, now_ms: u64) {
        self.sequences[from] += 1;
        let mut own = heartbeat_of(from, self.sequences[from]);
        let table = &self.tables[from];
        let known = table.live(&self.settings, now_ms);
        let known = known.map(|member| member.last_heartbeat.peer_address);
        let known: Vec<SocketAddr> = known.collect();
        let first = self.sequences[from] as usize * NAMED;
        let named = (0..known.len().min(NAMED)).map(|n| known[(first + n) % known.len()]);
        own.peers = named.collect();
        let targets = table.targets(
            domain(from),
            self.sequences[from],
            now_ms / 1_000,
            &self.settings,
            now_ms,
        );
        if !table.uses_packs(&self.settings) {
            return self.send_alone(from, &own, targets, now_ms);
        }
        let pack = table.pack(self.pack_ms[from], &self.settings, now_ms);
        let pack: Option<Vec<Heartbeat>> = pack.map(|group| {
            let held = group
                .into_iter()
                .map(|member| (*member.last_heartbeat).clone());
            held.chain([own.clone()]).collect()
        });
        for address in targets.direct {
            let to = self.transfer(from, address, std::slice::from_ref(&own), now_ms);
            if pack.is_some() {
                self.tables[to].record_pack(&own.name, now_ms);
            }
        }
        let Some(pack) = pack else {
            return;
        };
        self.pack_ms[from] = Some(now_ms);
        for address in targets.near {
            self.transfer(from, address, &pack, now_ms);
        }
        for address in targets.group_relays {
            self.send_to_group_relay(from, address, &pack, now_ms);
        }
        for address in targets.relays {
            let relay = self.transfer(from, address, &pack, now_ms);
            if self.is_dead[relay] {
                continue;
            }
            if !self.tables[relay].uses_groups(&self.settings) {
                let near: Vec<SocketAddr> = self.tables[relay].in_domain(domain(relay)).collect();
                for address in near {
                    self.transfer(relay, address, &pack, now_ms);
                }
                continue;
            }
            self.gather(relay, &pack, now_ms);
            let table = &self.tables[relay];
            let group_relays = table.group_relays(now_ms / 1_000, &self.settings, now_ms);
            for address in group_relays {
                self.send_to_group_relay(relay, address, &pack, now_ms);
            }
        }
    }

    /// Sends a heartbeat that is relayed by itself.
    fn send_alone(&mut self, from: usize, own: &Heartbeat, targets: Targets, now_ms: u64) {
        let pack = std::slice::from_ref(own);
        for address in targets.direct {
            self.transfer(from, address, pack, now_ms);
        }
        for address in targets.relays {
            let relay = self.transfer(from, address, pack, now_ms);
            let near: Vec<SocketAddr> = self.tables[relay].in_domain(domain(relay)).collect();
            for address in near {
                self.transfer(relay, address, pack, now_ms);
            }
        }
    }

    /// Sends one datagram, and returns who receives it.
    fn transfer(
        &mut self,
        from: usize,
        address: SocketAddr,
        pack: &[Heartbeat],
        now_ms: u64,
    ) -> usize {
        let to = self.by_address[&address];
        self.sent[from] += 1;
        self.received[to] += 1;
        for heartbeat in pack {
            self.receive(to, heartbeat, now_ms);
        }
        to
    }

    fn send_to_group_relay(
        &mut self,
        from: usize,
        address: SocketAddr,
        pack: &[Heartbeat],
        now_ms: u64,
    ) {
        let to = self.transfer(from, address, pack, now_ms);
        self.gather(to, pack, now_ms);
    }

    fn gather(&mut self, instance: usize, pack: &[Heartbeat], now_ms: u64) {
        let (bundle, due_ms) = &mut self.bundles[instance];
        if bundle.add(pack, now_ms) {
            *due_ms = Some(now_ms + GATHER_MS);
        }
    }

    /// Passes on what an instance has gathered for its group.
    fn send_bundle(&mut self, from: usize, now_ms: u64) {
        self.bundles[from].1 = None;
        let packs = self.bundles[from].0.take(now_ms);
        let group = self.tables[from].group_addresses(&self.settings);
        for (pack, &address) in packs
            .iter()
            .flat_map(|pack| group.iter().map(move |to| (pack, to)))
        {
            self.transfer(from, address, pack, now_ms);
        }
    }

    /// Lets all live instances send for a while, each in its own phase.
    fn run(&mut self, from_ms: u64, until_ms: u64) {
        for now_ms in (from_ms..until_ms).step_by(STEP_MS as usize) {
            for instance in 0..self.tables.len() {
                let phase_ms = (instance as u64 * 70) % self.settings.heartbeat_interval_ms;
                if self.is_dead[instance] {
                    continue;
                }
                let next_ms = self.next_ms[instance].unwrap_or(from_ms + phase_ms);
                if now_ms >= next_ms {
                    self.send(instance, now_ms);
                    let table = &self.tables[instance];
                    let interval_ms = table.heartbeat_interval_ms(&self.settings);
                    self.next_ms[instance] = Some(next_ms + interval_ms);
                }
                if self.bundles[instance]
                    .1
                    .is_some_and(|due_ms| now_ms >= due_ms)
                {
                    self.send_bundle(instance, now_ms);
                }
            }
        }
    }
}

fn name(instance: usize) -> String {
    format!("i{instance:03}")
}

fn domain(instance: usize) -> &'static str {
    DOMAINS[instance % DOMAINS.len()]
}

fn address(instance: usize) -> SocketAddr {
    SocketAddr::from((
        [10, 0, (instance / 250) as u8, (instance % 250) as u8],
        7_600,
    ))
}

fn heartbeat_of(instance: usize, sequence: u64) -> Heartbeat {
    heartbeat(
        &name(instance),
        domain(instance),
        address(instance),
        sequence,
    )
}

/// At the size of the fleets to come, a small machine must neither send nor receive
/// more than it can, and all instances must still count as live.
#[test]
fn hundreds_of_instances_hear_each_other_in_few_datagrams() {
    const INSTANCES: usize = 354;
    let mut fleet = Fleet::new(INSTANCES);
    fleet.run(0, 2_000);
    fleet.sent = vec![0; INSTANCES];
    fleet.max_gap_ms = 0;
    fleet.run(2_000, 6_000);
    let max_sent_per_s = fleet.sent.iter().max().expect("there are instances") / 4;
    assert!(max_sent_per_s <= 300, "{max_sent_per_s}");
    let interval_ms = fleet.tables[0].pack_interval_ms(&fleet.settings);
    assert!(interval_ms <= 500, "{interval_ms}");
    assert!(fleet.max_gap_ms <= 2 * interval_ms, "{}", fleet.max_gap_ms);
    for table in &fleet.tables {
        assert_eq!(table.live(&fleet.settings, 6_000).count(), INSTANCES - 1);
    }
}

/// Each datagram wakes a small machine. At 987 instances, packs that were passed on one
/// by one were 300 a second for each.
#[test]
fn instances_of_the_largest_fleets_receive_few_datagrams() {
    for instances in [480, 987] {
        let mut fleet = Fleet::new(instances);
        fleet.run(0, 3_000);
        fleet.received = vec![0; instances];
        fleet.sent = vec![0; instances];
        fleet.max_gap_ms = 0;
        fleet.run(3_000, 9_000);
        let mean_received_per_s = fleet.received.iter().sum::<usize>() / instances / 6;
        let max_sent_per_s = fleet.sent.iter().max().expect("there are instances") / 6;
        let interval_ms = fleet.tables[0].pack_interval_ms(&fleet.settings);
        assert!(
            mean_received_per_s <= 60,
            "{mean_received_per_s} at {instances}"
        );
        assert!(max_sent_per_s <= 300, "{max_sent_per_s} at {instances}");
        assert!(interval_ms <= 1_500, "{interval_ms}");
        assert!(fleet.max_gap_ms <= 3 * interval_ms, "{}", fleet.max_gap_ms);
        for table in &fleet.tables {
            assert_eq!(table.live(&fleet.settings, 9_000).count(), instances - 1);
        }
    }
}

/// Guards against instances of a fleet that starts at once which miss some of each
/// other, or send more while they find each other than a small machine can receive.
#[test]
fn a_large_fleet_knows_itself_soon_after_its_start() {
    const INSTANCES: usize = 300;
    let mut fleet = Fleet::starting(INSTANCES);
    fleet.run(0, 3_000);
    let received = fleet.received.iter().sum::<usize>() / INSTANCES / 3;
    assert!(received <= 500, "{received} a second");
    for (n, table) in fleet.tables.iter().enumerate() {
        let live = table.live(&fleet.settings, 3_000).count();
        assert_eq!(live, INSTANCES - 1, "instance {n}");
    }
}

/// Every tenth instance is lost at once. The packs of its group are sent by the
/// others, lost relays cost single packs, and no pack keeps a lost instance alive.
#[test]
fn lost_instances_are_noticed_and_their_tasks_taken_over() {
    const INSTANCES: usize = 300;
    let mut fleet = Fleet::new(INSTANCES);
    fleet.run(0, 2_000);
    for instance in (0..INSTANCES).step_by(10) {
        fleet.is_dead[instance] = true;
    }
    fleet.run(2_000, 6_000);
    let lost = INSTANCES / 10;
    for instance in (0..INSTANCES).filter(|n| n % 10 != 0) {
        let live = fleet.tables[instance].live(&fleet.settings, 6_000);
        let names: Vec<&str> = live
            .map(|member| member.last_heartbeat.name.as_str())
            .collect();
        assert_eq!(names.len(), INSTANCES - lost - 1, "instance {instance}");
    }
}

/// Instances that start together send in step. If all of them chose the same relay of
/// a failure domain, a small machine would relay the heartbeats of the whole fleet at
/// once, another one at each turn.
#[test]
fn instances_in_step_choose_different_relays() {
    const INSTANCES: usize = 95;
    let fleet = Fleet::new(INSTANCES);
    for turn in 1..20 {
        let mut chosen: HashMap<SocketAddr, usize> = HashMap::new();
        for (n, table) in fleet.tables.iter().enumerate() {
            for relay in table.targets(domain(n), turn, 0, &fleet.settings, 0).relays {
                *chosen.entry(relay).or_default() += 1;
            }
        }
        let max_chosen = chosen.values().max().expect("there are relays");
        // Evenly spread, each of them would be chosen five times.
        assert!(*max_chosen <= 20, "{max_chosen} at turn {turn}");
    }
}

/// A heartbeat of a peer that fell silent would make it live for an instance that has
/// just started and doesn't know it.
#[test]
fn a_pack_leaves_out_peers_that_fell_silent() {
    let settings = MeshSettings::default();
    let mut table = MemberTable::new(&name(0), "a");
    for other in 1..150 {
        table.receive(heartbeat(&name(other), "a", address(other), 1), 0);
        table.set_exchange_version(&name(other), EXCHANGE_VERSION);
    }
    for other in 2..8 {
        table.receive(heartbeat(&name(other), "a", address(other), 2), 900);
    }
    let pack = table.pack(None, &settings, 1_000).expect("a pack is due");
    let names: Vec<&str> = pack
        .iter()
        .map(|member| member.last_heartbeat.name.as_str())
        .collect();
    assert_eq!(names, ["i002", "i003", "i004", "i005", "i006", "i007"]);
}

/// A fleet may have one failure domain only. No relay passes anything on then, and all
/// instances must still be sent the heartbeats.
#[test]
fn a_fleet_of_one_failure_domain_needs_no_relays() {
    let settings = MeshSettings::default();
    let mut table = MemberTable::new(&name(0), "a");
    for other in 1..150 {
        table.receive(heartbeat(&name(other), "a", address(other), 1), 0);
        table.set_exchange_version(&name(other), EXCHANGE_VERSION);
    }
    let targets = table.targets("a", 1, 0, &settings, 0);
    assert!(table.uses_packs(&settings) && targets.relays.is_empty());
    assert_eq!((targets.direct.len(), targets.near.len()), (7, 0));
    // Eighteen groups besides the own one have the other 142.
    assert_eq!(targets.group_relays.len(), 18);
    for other in 1..150 {
        table.set_exchange_version(&name(other), PACKS_VERSION);
    }
    let targets = table.targets("a", 1, 0, &settings, 0);
    assert!(table.uses_packs(&settings) && targets.relays.is_empty());
    assert_eq!((targets.direct.len(), targets.near.len()), (7, 142));
    assert!(targets.group_relays.is_empty());
}

/// While one instance still runs an earlier build, all must send what it
/// understands.
#[test]
fn packs_wait_for_the_last_instance_of_an_earlier_build() {
    let mut fleet = Fleet::new(120);
    let settings = fleet.settings;
    assert!(fleet.tables[0].uses_packs(&settings));
    fleet.tables[0].set_exchange_version(&name(7), 0);
    assert!(!fleet.tables[0].uses_packs(&settings));
    let table = &fleet.tables[0];
    let told: Vec<SocketAddr> = table.in_domain_with(domain(7), EXCHANGE_VERSION).collect();
    assert_eq!(told.len() + 1, table.in_domain(domain(7)).count());
    assert!(!told.contains(&address(7)));
}

/// When a large fleet starts, each instance hears of hundreds of new peers within a
/// second. Answering each of them at once filled the links for several seconds, so
/// that instances refused callers for want of reports.
#[test]
fn heartbeats_that_are_wanted_at_once_are_gathered() {
    let settings = MeshSettings::default();
    let mut sent_ms = Vec::new();
    let mut last_ms = 1_000;
    for found_ms in 1_000..2_000_u64 {
        let delay_ms = settings.wake_delay_ms(last_ms, found_ms);
        if delay_ms == 0 {
            last_ms = found_ms;
            sent_ms.push(found_ms);
        }
    }
    assert_eq!(sent_ms.len(), 24);
    assert_eq!(
        settings.wake_delay_ms(1_000, 1_500),
        0,
        "one alone isn't delayed"
    );
}

/// A relayed heartbeat was held by another instance for a while. If its ages didn't
/// grow meanwhile, replaced weights would be used for longer than they may be.
#[test]
fn ages_grow_while_a_heartbeat_is_held() {
    let mut sent = heartbeat("i", "a", address(1), 5);
    sent.versions = vec![
        ("model".to_owned(), 3, Some(400)),
        ("model".to_owned(), 2, None),
    ];
    sent.orders = vec![OrderReport {
        engine: "e".to_owned(),
        model: "model".to_owned(),
        version: 3,
        phase: OrderPhase::Sent,
        age_ms: 100,
    }];
    sent.crashes = vec![CrashReport {
        request: 1,
        crash: 2,
        age_ms: 50,
        cleared: false,
    }];
    sent.ordered_ago_ms = Some(70);
    let held = sent.held_for(300);
    assert_eq!(
        held.versions,
        [
            ("model".to_owned(), 3, Some(700)),
            ("model".to_owned(), 2, None)
        ]
    );
    assert_eq!((held.orders[0].age_ms, held.crashes[0].age_ms), (400, 350));
    assert_eq!(
        (held.ordered_ago_ms, held.counted_for_ms, held.up_ms),
        (Some(370), 7_700, 10_300)
    );
    assert_eq!(held.sequence, sent.sequence);
}

/// A heartbeat with work at all engines and hundreds of teams has to fit a datagram:
/// one that doesn't is lost each time, and the instance counts as silent.
#[test]
fn a_full_heartbeat_fits_a_datagram() {
    let mut sent = heartbeat("edge-south-texas-a-1", "south-texas-a", address(1), 500);
    let load = Load {
        requests: 30,
        memory_tokens: 270_000,
        prefill_tokens: 90_000,
        must_finish: 1,
    };
    sent.loads = (0..640).map(|n| (format!("i-{n:010x}"), load)).collect();
    sent.placements = (0..48).map(|n| (u64::MAX - n, u32::MAX)).collect();
    sent.teams = (0..230)
        .map(|n| TeamReport {
            team: format!("team{n:03}"),
            spent: 1e7,
            level: 1e5,
            demand_per_s: 1e5,
        })
        .collect();
    let bytes = PeerMessage::Direct(Box::new(sent.clone()))
        .encode(EXCHANGE_VERSION)
        .expect("it is encoded");
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    let packs = split_packs(vec![sent; 8], PACK_BYTES);
    for pack in packs {
        let bytes = PeerMessage::PackToRelay(pack).encode(EXCHANGE_VERSION);
        let length = bytes.expect("it is encoded").len();
        assert!(length <= MAX_DATAGRAM_BYTES, "{length}");
    }
}

/// Messages of an earlier build end without a version, and that build ignores the
/// version behind the messages of this one.
#[test]
fn the_exchange_version_follows_the_message() {
    let message = PeerMessage::Direct(Box::new(heartbeat("i", "a", address(1), 5)));
    let bytes = message.encode(EXCHANGE_VERSION).expect("it is encoded");
    let (decoded, version) = PeerMessage::decode(&bytes).expect("it is decoded");
    assert_eq!((&decoded, version), (&message, EXCHANGE_VERSION));
    let earlier = &bytes[..bytes.len() - 1];
    let (decoded, version) = PeerMessage::decode(earlier).expect("it is decoded");
    assert_eq!((&decoded, version), (&message, 0));
    let by_earlier: PeerMessage = postcard::from_bytes(&bytes).expect("the rest is ignored");
    assert_eq!(by_earlier, message);
}

/// Returns the heartbeat of an instance that serves eight requests a second: engines
/// with work, parts that were read, and teams that spent.
fn loaded_heartbeat(instance: usize) -> Heartbeat {
    let number = |index: usize| instance * 37 + index * 101;
    let load = |index: usize| Load {
        requests: 1 + (index % 2) as u32,
        memory_tokens: 900 + 700 * index as u32,
        prefill_tokens: 800 * (index % 3) as u32,
        must_finish: (index % 2) as u32,
    };
    let part = |index: usize| (number(index) as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    Heartbeat {
        versions: vec![("daka510000".to_owned(), 3, Some(400))],
        loads: (0..8)
            .map(|index| (format!("i-{:010x}", part(index) >> 24), load(index)))
            .collect(),
        placements: (0..12)
            .map(|index| (part(index), (part(index + 50) >> 32) as u32))
            .collect(),
        teams: (0..10)
            .map(|team| TeamReport {
                team: format!("team{:03}", team),
                spent: number(team) as f64 * 917.0,
                level: 3_000.0 * team as f32,
                demand_per_s: 700.0 * team as f32,
            })
            .collect(),
        ..heartbeat_of(instance, 400)
    }
}

/// The heartbeats of three hundred busy instances filled the links of the small ones, of
/// 10 Mbit/s, and a new configuration came seconds too late. They must leave most of
/// the link to what has to arrive in time, and still come often enough to place by.
#[test]
fn heartbeats_of_a_busy_large_fleet_leave_most_of_a_small_link() {
    const INSTANCES: usize = 298;
    const LINK_BYTES_PER_S: usize = 10_000_000 / 8;
    let settings = MeshSettings::default();
    let mut table = MemberTable::new(&name(0), domain(0));
    for other in 1..INSTANCES {
        table.receive(loaded_heartbeat(other), 0);
        table.set_exchange_version(&name(other), EXCHANGE_VERSION);
    }
    let packs = split_packs((0..INSTANCES).map(loaded_heartbeat), PACK_BYTES);
    let mut bytes = 0;
    for pack in &packs {
        let message = PeerMessage::RelayedPack(pack.clone());
        let message = message.compress().expect("it is compressed");
        let datagram = message.encode(EXCHANGE_VERSION).expect("it is encoded");
        assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
        bytes += datagram.len();
        for _ in 0..20 {
            table.record_pack_size(datagram.len(), pack.len());
        }
    }
    let interval_ms = table.pack_interval_ms(&settings);
    let bytes_per_s = bytes * 1_000 / interval_ms as usize;
    assert!(
        bytes_per_s <= LINK_BYTES_PER_S / 5,
        "{bytes_per_s} bytes a second"
    );
    assert!(interval_ms <= 1_200, "{interval_ms} ms");
}

/// Packs arrive as they were sent. A datagram of another author may name any size, or
/// hold a message that unpacks again and again, and must cost neither memory nor time.
#[test]
fn compressed_messages_are_bounded() {
    let pack = PeerMessage::PackToRelay((0..8).map(loaded_heartbeat).collect());
    let compressed = pack.compress().expect("it is compressed");
    let bytes = compressed.encode(EXCHANGE_VERSION).expect("it is encoded");
    let plain = pack.encode(EXCHANGE_VERSION).expect("it is encoded");
    assert!(
        bytes.len() < plain.len(),
        "{} of {}",
        bytes.len(),
        plain.len()
    );
    let decoded = PeerMessage::decode(&bytes).expect("it is decoded");
    assert_eq!(decoded, (pack, EXCHANGE_VERSION));
    let nested = compressed.compress().expect("it is compressed");
    let nested = nested.encode(EXCHANGE_VERSION).expect("it is encoded");
    assert!(PeerMessage::decode(&nested).is_err());
    for size in [u32::MAX, 1_000_000, 5] {
        let mut bytes = size.to_le_bytes().to_vec();
        bytes.extend([0xff; 40]);
        let forged = PeerMessage::Compressed(bytes);
        let forged = forged.encode(EXCHANGE_VERSION).expect("it is encoded");
        assert!(PeerMessage::decode(&forged).is_err());
    }
}

/// At half a request a second for each instance, most of hundreds of teams never send
/// to it. Their reports made a heartbeat kilobytes long, and with it the time until a
/// thousand instances hear of anything.
#[test]
fn heartbeats_in_packs_leave_out_teams_without_requests() {
    const INSTANCES: usize = 987;
    let idle_teams = (0..333).map(|n| TeamReport {
        team: format!("team{n:03}"),
        spent: 0.0,
        level: 1e5,
        demand_per_s: 0.0,
    });
    let sent: Vec<Heartbeat> = (0..8)
        .map(|n| {
            let mut sent = heartbeat_of(n, 5);
            sent.teams = idle_teams.clone().collect();
            sent.teams[n * 7].spent = 9_190.0;
            sent.peers = (0..4).map(|peer| address(peer * 9 + n)).collect();
            sent
        })
        .collect();
    let pack: Vec<Heartbeat> = sent.iter().map(|sent| sent.packed(100)).collect();
    assert!(pack.iter().all(|packed| packed.teams.len() == 1));
    let message = PeerMessage::RelayedPack(pack).compress();
    let datagram = message.expect("it is compressed").encode(EXCHANGE_VERSION);
    let bytes = datagram.expect("it is encoded").len() * INSTANCES / 8;
    let settings = MeshSettings::default();
    // All heartbeats of the fleet take less than a second of their part of the link.
    assert!(
        (bytes as f64) < settings.max_heartbeat_bytes_per_s,
        "{bytes}"
    );
}

/// A large fleet that starts finds hundreds of peers within a second. If each finding
/// were answered at once, all would send to all several times within it.
#[test]
fn only_small_fleets_answer_new_peers_at_once() {
    let settings = MeshSettings::default();
    assert!(Fleet::new(20).tables[0].answers_new_peers(&settings));
    assert!(!Fleet::new(150).tables[0].answers_new_peers(&settings));
}

/// An instance asks for each of its peers whether it is live, five times a second. The
/// answer depends on all peers; worked out for each of a thousand, it took most of a
/// small machine's processor.
#[test]
fn the_liveness_of_all_peers_costs_in_proportion_to_their_number() {
    let mut fleets = [120, 960].map(|instances| {
        let mut table = MemberTable::new(&name(0), domain(0));
        for other in 1..instances {
            table.receive(heartbeat_of(other, 1), 0);
            table.set_exchange_version(&name(other), EXCHANGE_VERSION);
        }
        (table, Duration::MAX)
    });
    let settings = MeshSettings::default();
    for _ in 0..20 {
        for (table, best) in &mut fleets {
            let started = Instant::now();
            let liveness = table.liveness(&settings, 100);
            let names = table
                .iter()
                .map(|member| member.last_heartbeat.name.as_str());
            let live = names.filter(|name| liveness.of(name) == Some(true)).count();
            assert_eq!(live, table.iter().count());
            *best = started.elapsed().min(*best);
        }
    }
    // Eight times as many, with some more for lookups in a larger table; their square
    // would be 64 times as many.
    let [(_, small), (_, large)] = fleets;
    assert!(large < small * 24, "{small:?} and {large:?}");
}
