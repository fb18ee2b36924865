//! A fleet in memory: what exchanges cost a node, and how fast news travel.

use {
    mangowalk_core::{
        config::Store,
        membership::{AnswerTtlSettings, Members, addresses_for_caller, answer_ttl_ms},
        peer::{InstanceView, PeerReply, PeerRequest},
        platform::{ListReply, Object, ObjectKey, WatchReply},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    serde_json::json,
    std::net::SocketAddr,
};

/// Exchanges that one node starts in a second.
const EXCHANGES_PER_S: f64 = 2.0;
const FIRST_PORT: u16 = 10_000;
const ROUND_MS: u64 = 500;

struct Node {
    view: InstanceView,
    members: Members,
    store: Store,
    bytes: usize,
    alive: bool,
}

struct SimulatedFleet {
    nodes: Vec<Node>,
    random: SmallRng,
    now_ms: u64,
}

fn view(i: usize) -> InstanceView {
    let port = FIRST_PORT + i as u16;
    InstanceView {
        caller_address: SocketAddr::from(([10, 0, 0, 1], port)),
        peer_address: SocketAddr::from(([10, 0, 0, 2], port)),
        incarnation: (1_764_720_000_000 << 16) + i as u64,
        heartbeat: 1,
        failure_domain: format!("san-antonio-{}", i % 6),
        ready: true,
        departing: false,
        suspected: false,
    }
}

impl SimulatedFleet {
    fn of(size: usize, records: usize) -> SimulatedFleet {
        let object = |i: usize| Object {
            key: ObjectKey::new("team", &format!("team-{i}")),
            version: i as u64 + 1,
            body: json!({ "schema": 1, "priority": 5 }),
        };
        let list = ListReply {
            revision: records as u64,
            objects: (0..records).map(object).collect(),
        };
        let nodes = (0..size).map(|i| Node {
            view: view(i),
            members: Members::default(),
            store: Store::default(),
            bytes: 0,
            alive: true,
        });
        let mut fleet = SimulatedFleet {
            nodes: nodes.collect(),
            random: SmallRng::seed_from_u64(7),
            now_ms: 0,
        };
        for node in &mut fleet.nodes {
            node.store.merge_list(&list);
            for i in 0..size {
                if view(i) != node.view {
                    node.members.merge_direct(&view(i), 0);
                }
            }
        }
        fleet
    }

    fn round(&mut self) {
        self.now_ms += ROUND_MS;
        for index in 0..self.nodes.len() {
            let members = self.nodes[index].members.all().filter(|m| m.is_live());
            let live: Vec<usize> = members
                .map(|m| usize::from(m.view.caller_address.port() - FIRST_PORT))
                .collect();
            if self.nodes[index].alive && !live.is_empty() {
                let peer = live[self.random.random_range(0..live.len())];
                self.exchange(index, peer);
            }
        }
    }

    fn considers_live(&self, index: usize, other: usize) -> bool {
        let address = view(other).caller_address;
        let members = &self.nodes[index].members;
        members
            .all()
            .any(|m| m.view.caller_address == address && m.is_live())
    }

    fn exchange(&mut self, index: usize, peer: usize) {
        let digest = self.nodes[index].store.digest();
        let updates = self.nodes[index].members.next_updates();
        let request = PeerRequest::Exchange {
            from: self.nodes[index].view.clone(),
            digest,
            updates: updates.clone(),
            crashes: Vec::new(),
        };
        let bytes = postcard::to_stdvec(&request).expect("a message").len();
        self.nodes[index].bytes += bytes;
        if !self.nodes[peer].alive {
            let address = view(peer).caller_address;
            self.nodes[index].members.suspect(address, self.now_ms);
            return;
        }
        self.nodes[peer].bytes += bytes;
        let from = self.nodes[index].view.clone();
        self.receive(peer, &from, &updates);
        let reply = PeerReply::Exchange {
            from: self.nodes[peer].view.clone(),
            updates: self.nodes[peer].members.next_updates(),
            delta: self.nodes[peer].store.delta_for(&digest),
            crashes: Vec::new(),
        };
        let bytes = postcard::to_stdvec(&reply).expect("a message").len();
        self.nodes[peer].bytes += bytes;
        self.nodes[index].bytes += bytes;
        if let PeerReply::Exchange {
            from,
            updates,
            delta,
            ..
        } = reply
        {
            self.receive(index, &from, &updates);
            self.nodes[index].store.merge_delta(&delta);
        }
    }

    fn receive(&mut self, index: usize, from: &InstanceView, updates: &[InstanceView]) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[index];
        node.members.merge_direct(from, now_ms);
        for view in updates
            .iter()
            .filter(|v| v.caller_address != node.view.caller_address)
        {
            node.members.merge_indirect(view, now_ms);
        }
    }

    fn rounds_until(&mut self, done: impl Fn(&SimulatedFleet) -> bool) -> u32 {
        for round in 1..200 {
            self.round();
            if done(self) {
                return round;
            }
        }
        panic!("the news did not reach everyone")
    }
}

/// Prints, for each size of fleet, what a node at rest sends and receives, and
/// how many rounds of half a second news take.
fn table() -> String {
    let mut lines = vec!["nodes  bytes/s  death  change".to_owned()];
    for size in [7, 50, 150, 350] {
        let mut fleet = SimulatedFleet::of(size, 200);
        let warmup_rounds = 100;
        (0..warmup_rounds).for_each(|_| fleet.round());
        fleet.nodes.iter_mut().for_each(|n| n.bytes = 0);
        let rounds = 20;
        (0..rounds).for_each(|_| fleet.round());
        let mean_bytes = fleet.nodes.iter().map(|n| n.bytes).sum::<usize>() / size;
        let bytes_per_s = mean_bytes as f64 / f64::from(rounds) * EXCHANGES_PER_S;
        fleet.nodes[1].alive = false;
        let death = fleet.rounds_until(|n| {
            (0..n.nodes.len()).all(|index| index == 1 || !n.considers_live(index, 1))
        });
        let written = WatchReply {
            revision: 300,
            ..WatchReply::default()
        };
        fleet.nodes[0].store.merge_watch(&written);
        let change = fleet.rounds_until(|n| {
            let alive = n.nodes.iter().filter(|n| n.alive);
            alive.clone().all(|n| n.store.revision() == 300)
        });
        lines.push(format!(
            "{size:>5}  {bytes_per_s:>7.0}  {death:>5}  {change:>6}"
        ));
    }
    lines.join("\n")
}

/// What a node spends does not grow with the fleet, and stays under its
/// 4 KB a second; what takes longer in a larger fleet is news, by a round or
/// two each time it doubles.
#[test]
fn the_cost_of_a_node_does_not_grow_with_the_fleet() {
    insta::assert_snapshot!(table());
}

/// An instance that was cut off suspects everyone, and tells so. Those who
/// heard from the suspected ones a moment ago don't believe it.
#[test]
fn a_suspicion_of_a_recently_alive_instance_is_dropped() {
    let mut members = Members::default();
    members.merge_direct(&view(1), 1_000);
    let suspicion = InstanceView {
        suspected: true,
        ..view(1)
    };
    assert!(!members.merge_indirect(&suspicion, 1_500));
    assert!(members.merge_indirect(&suspicion, 5_000));
    let refuted = InstanceView {
        heartbeat: 2,
        ..view(1)
    };
    assert!(members.merge_indirect(&refuted, 5_500));
    assert!(
        !members.merge_indirect(&suspicion, 60_000),
        "older than the refutation"
    );
}

/// Seven instances restart at once and one is ready. Callers are told of it
/// alone, for a moment only, so that they spread when the others are ready.
#[test]
fn answers_expire_soon_while_most_instances_start() {
    let mut instances: Vec<InstanceView> = (0..7).map(view).collect();
    instances[1..].iter_mut().for_each(|i| i.ready = false);
    let settings = AnswerTtlSettings::default();
    assert_eq!(
        answer_ttl_ms(&settings, &instances),
        settings.starting_ttl_ms
    );
    assert_eq!(
        addresses_for_caller(&instances, "san-antonio-0", 1).len(),
        1
    );
    instances.iter_mut().for_each(|i| i.ready = true);
    assert_eq!(answer_ttl_ms(&settings, &instances), settings.ttl_ms);
}

/// Every failure domain but the caller's is named last, and one address of
/// another domain is always among the eight.
#[test]
fn addresses_start_with_the_own_failure_domain_and_end_with_another() {
    let instances: Vec<InstanceView> = (0..120).map(view).collect();
    let addresses = addresses_for_caller(&instances, "san-antonio-0", 1);
    let near = |a: &SocketAddr| (a.port() - FIRST_PORT).is_multiple_of(6);
    let order: Vec<bool> = addresses.iter().map(near).collect();
    assert_eq!(order, [true, true, true, true, true, true, true, false]);
}

/// Guards against an instance that left and is told of as well by one that has not
/// heard of it for long.
#[test]
fn a_departed_instance_is_not_restored_by_an_older_report() {
    let mut members = Members::default();
    assert!(members.merge_indirect(&view(1), 0));
    let departed = InstanceView {
        departing: true,
        suspected: true,
        ..view(1)
    };
    assert!(members.merge_indirect(&departed, 2_000));
    while members.all().next().is_some() {
        members.next_updates();
        members.forget(60_000);
    }
    assert!(!members.merge_indirect(&view(1), 61_000));
    let restarted = InstanceView {
        incarnation: view(1).incarnation + 1,
        ..view(1)
    };
    assert!(
        members.merge_indirect(&restarted, 62_000),
        "it started again"
    );
}
