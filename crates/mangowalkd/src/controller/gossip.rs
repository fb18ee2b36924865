use {
    super::{Controller, crashes::receive_crashes, registry::Registry},
    crate::shared_state::SharedState,
    log::info,
    mangowalk_core::{
        config::{Delta, Freshness},
        edge::{Clock, Edges, Peers},
        membership::StartingFacts,
        peer::{InstanceView, PeerReply, PeerRequest},
    },
    rand::{Rng, seq::IndexedRandom},
    std::net::SocketAddr,
};

/// Mean pause between two exchanges.
const PERIOD_MS: u64 = 500;

/// Mean pause between two exchanges until the instance is ready.
const STARTING_PERIOD_MS: u64 = 50;

/// Timeout of one request to a peer.
const ANSWER_TIMEOUT_MS: u64 = 400;

/// Attempts before a peer is suspected. A single lost connection doesn't show
/// that the peer is dead.
const MAX_TRIES: u32 = 2;

/// One exchange in this many goes to a candidate address: that of a suspected
/// peer, a seed, or an entry of the platform's list. This detects the end of a
/// network partition.
const CANDIDATE_EVERY: u64 = 8;

/// Maximum number of peers that get a departure notice.
const MAX_DEPARTURE_NOTICES: usize = 3;

/// Exchanges records, membership updates and crash counts with other instances.
pub struct Gossip<E: Edges> {
    seeds: Vec<SocketAddr>,
    registry: Registry<E>,
    round: u64,
    /// Whether a peer has answered an exchange.
    compared: bool,
    /// Readiness and departure at the last change of the own heartbeat.
    announced: (bool, bool),
}

impl<E: Edges> Gossip<E> {
    /// Returns a controller that also tries these peer addresses, besides those in
    /// the platform's list of instances.
    pub fn new(seeds: &[SocketAddr]) -> Gossip<E> {
        Gossip {
            seeds: seeds.to_vec(),
            registry: Registry::default(),
            round: 0,
            compared: false,
            announced: (false, false),
        }
    }

    /// Returns the peer for the next exchange. The choice is random, so that
    /// instances need no agreed schedule.
    fn choose_peer(&self, shared: &SharedState) -> Option<SocketAddr> {
        let live = shared.peers.reachable();
        let known: Vec<SocketAddr> = live.iter().map(|m| m.view.peer_address).collect();
        let candidates = self.candidate_addresses(shared, &known);
        let from_candidates = known.is_empty()
            || shared.lifecycle.is_starting()
            || self.round.is_multiple_of(CANDIDATE_EVERY);
        let mut random = rand::rng();
        if from_candidates && !candidates.is_empty() {
            return candidates.choose(&mut random).copied();
        }
        known.choose(&mut random).copied()
    }

    /// Returns addresses at which a peer may listen: those of suspected peers, the
    /// seeds and the platform's list, without this instance and `known`.
    fn candidate_addresses(&self, shared: &SharedState, known: &[SocketAddr]) -> Vec<SocketAddr> {
        let suspected: Vec<SocketAddr> = shared.peers.read(|m| {
            let suspected = m.all().filter(|m| m.view.suspected);
            suspected.map(|m| m.view.peer_address).collect()
        });
        let own = shared.identity.peer_address;
        suspected
            .into_iter()
            .chain(self.seeds.iter().copied())
            .chain(self.registry.peers().iter().copied())
            .filter(|address| *address != own && !known.contains(address))
            .collect()
    }

    /// Makes an exchange with the peer at an address. Suspects the peer if it
    /// doesn't answer.
    fn exchange(&mut self, edges: &E, shared: &SharedState, address: SocketAddr) {
        let request = PeerRequest::Exchange {
            from: own_view(shared),
            digest: shared.config.read(|s| s.digest()),
            updates: shared.peers.next_updates(),
            crashes: shared.poison.reports(edges.clock().now_ms()),
        };
        for _ in 0..MAX_TRIES {
            let reply = edges.peers().ask(address, &request, ANSWER_TIMEOUT_MS);
            if let Ok(PeerReply::Exchange {
                from,
                updates,
                delta,
                crashes,
            }) = reply
            {
                self.compared = true;
                shared.poison.merge(&crashes, edges.clock().now_ms());
                return apply_exchange(edges, shared, &from, &updates, &delta);
            }
        }
        suspect(shared, address, edges.clock().now_ms());
    }

    /// Raises this instance's heartbeat when its readiness or departure changed,
    /// so that the change overrides older state at peers.
    fn announce_change(&mut self, shared: &SharedState) {
        let current = (shared.lifecycle.is_ready(), shared.lifecycle.is_departing());
        if current != self.announced {
            self.announced = current;
            shared
                .peers
                .raise_own_heartbeat(shared.peers.own_heartbeat());
        }
    }

    /// Marks the instance as ready for callers if it has what it needs to start.
    fn try_ready(&self, shared: &SharedState, now_ms: u64) {
        let facts = StartingFacts {
            has_records: shared.config.view().revision > 0,
            compared: self.compared,
            knows_peers: !self.registry.has_list()
                || !self.seeds.is_empty()
                || !self.registry.peers().is_empty(),
        };
        if shared.lifecycle.try_ready(facts, now_ms) {
            info!("peers: Ready for callers.");
        }
    }
}

impl<E: Edges> Controller for Gossip<E> {
    type Edges = E;

    const NAME: &'static str = "peers";

    fn step(&mut self, edges: &E, shared: &SharedState, now_ms: u64) -> u64 {
        self.registry.step(edges, shared, now_ms);
        self.round += 1;
        self.announce_change(shared);
        shared.peers.forget(now_ms);
        if let Some(address) = self.choose_peer(shared) {
            self.exchange(edges, shared, address);
        }
        self.try_ready(shared, edges.clock().now_ms());
        let period_ms = if shared.lifecycle.is_starting() {
            STARTING_PERIOD_MS
        } else {
            PERIOD_MS
        };
        // Without jitter, instances that started at the same time would make their
        // exchanges at the same time.
        rand::rng().random_range(period_ms / 2..period_ms * 3 / 2)
    }

    fn shut_down(&mut self, edges: &E, shared: &SharedState) {
        self.announce_change(shared);
        self.registry.unregister(edges, shared);
        for peer in shared.peers.live().iter().take(MAX_DEPARTURE_NOTICES) {
            self.exchange(edges, shared, peer.peer_address);
        }
    }
}

/// Merges the membership updates and records of a peer's reply, and confirms
/// the records in force if enough peers are live.
fn apply_exchange<E: Edges>(
    edges: &E,
    shared: &SharedState,
    from: &InstanceView,
    updates: &[InstanceView],
    delta: &Delta,
) {
    let now_ms = edges.clock().now_ms();
    merge_views(shared, from, updates, now_ms);
    let window_ms = shared.config.freshness().limit_ms;
    let (live, known) = shared
        .peers
        .read(|m| m.count_alive_within(window_ms, now_ms));
    if Freshness::peers_confirm(live, known) {
        shared.config.confirm(now_ms);
    }
    let held = shared.config.read(|s| s.revision());
    if delta.entries.is_empty() && delta.revision <= held {
        return;
    }
    let changed = shared.config.update(|store| store.merge_delta(delta));
    if changed > 0 {
        info!("peers: Merged {changed} records from a peer.");
    }
}

/// Merges the view that a peer sent of itself, and the updates that it relayed.
/// If an update suspects this instance, its own heartbeat is raised above it.
fn merge_views(shared: &SharedState, from: &InstanceView, updates: &[InstanceView], now_ms: u64) {
    let id = &shared.identity;
    if from.caller_address != id.caller_address {
        shared.peers.merge_direct(from, now_ms);
    }
    for view in updates {
        if view.caller_address != id.caller_address {
            shared.peers.merge_indirect(view, now_ms);
        } else if view.incarnation == id.incarnation && view.suspected {
            shared.peers.raise_own_heartbeat(view.heartbeat);
        }
    }
}

fn suspect(shared: &SharedState, peer_address: SocketAddr, now_ms: u64) {
    let suspects = shared.peers.live();
    let Some(view) = suspects.iter().find(|v| v.peer_address == peer_address) else {
        return;
    };
    info!("peers: {} does not answer.", view.caller_address);
    shared.peers.suspect(view.caller_address, now_ms);
}

fn own_view(shared: &SharedState) -> InstanceView {
    let id = &shared.identity;
    InstanceView {
        caller_address: id.caller_address,
        peer_address: id.peer_address,
        incarnation: id.incarnation,
        heartbeat: shared.peers.own_heartbeat(),
        failure_domain: id.failure_domain.clone(),
        ready: shared.lifecycle.is_ready(),
        departing: shared.lifecycle.is_departing(),
        suspected: false,
    }
}

/// Handles one request of a peer and returns the reply. Merges what the peer
/// sent into the shared state.
pub fn answer<E: Edges>(edges: &E, shared: &SharedState, request: &PeerRequest) -> PeerReply {
    let now_ms = edges.clock().now_ms();
    match request {
        PeerRequest::Exchange {
            from,
            digest,
            updates,
            crashes,
        } => {
            merge_views(shared, from, updates, now_ms);
            shared.poison.merge(crashes, now_ms);
            PeerReply::Exchange {
                from: own_view(shared),
                updates: shared.peers.next_updates(),
                delta: shared.config.read(|s| s.delta_for(digest)),
                crashes: shared.poison.reports(now_ms),
            }
        }
        PeerRequest::Crashes { crashes } => receive_crashes(shared, crashes, now_ms),
        PeerRequest::Grant { team, tokens } => {
            let view = shared.config.view();
            let rate = view.rates.get(team);
            let grant = rate.map(|rate| shared.limits.grant(team, rate, *tokens, now_ms));
            let grant = grant.unwrap_or_default();
            PeerReply::Granted {
                tokens: grant.tokens,
                left_tokens: grant.left_tokens,
                part: grant.id,
            }
        }
        PeerRequest::GiveBack { team, part, tokens } => {
            shared.limits.apply_refund(team, *part, *tokens);
            PeerReply::Granted {
                tokens: 0,
                left_tokens: 0,
                part: *part,
            }
        }
    }
}
