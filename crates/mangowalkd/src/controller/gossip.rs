use {
    super::{Controller, crashes::hear_crashes, registry::Registry},
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

/// Pause between two exchanges.
const PERIOD_MS: u64 = 500;

/// Pause between two exchanges until the instance is ready.
const STARTING_PERIOD_MS: u64 = 50;

/// Time that a peer has to answer.
const ANSWER_TIMEOUT_MS: u64 = 400;

/// Times that a peer is asked before it is suspected. One lost connection is
/// no death.
const TRIES: u32 = 2;

/// One exchange in this many goes to an instance that is suspected or only
/// known by its address, so that a cut that heals is seen.
const DOUBTFUL_EVERY: u64 = 8;

/// Peers that a leaving instance tells.
const FAREWELLS: usize = 3;

/// Exchanges records, news of instances and crash counts with other
/// instances.
pub struct Gossip<E: Edges> {
    seeds: Vec<SocketAddr>,
    registry: Registry<E>,
    round: u64,
    compared: bool,
    said: (bool, bool),
}

impl<E: Edges> Gossip<E> {
    /// Returns a controller that knows these peers at start.
    pub fn new(seeds: &[SocketAddr]) -> Gossip<E> {
        Gossip {
            seeds: seeds.to_vec(),
            registry: Registry::default(),
            round: 0,
            compared: false,
            said: (false, false),
        }
    }

    /// Returns the peer to ask next: at random, so that no list of who asks
    /// whom has to be agreed on.
    fn choose(&self, board: &SharedState) -> Option<SocketAddr> {
        let live = board.peers.reachable();
        let known: Vec<SocketAddr> = live.iter().map(|m| m.view.peer_address).collect();
        let doubtful = self.doubtful(board, &known);
        let from_doubtful = known.is_empty()
            || board.lifecycle.is_starting()
            || self.round.is_multiple_of(DOUBTFUL_EVERY);
        let mut random = rand::rng();
        if from_doubtful && !doubtful.is_empty() {
            return doubtful.choose(&mut random).copied();
        }
        known.choose(&mut random).copied()
    }

    fn doubtful(&self, board: &SharedState, known: &[SocketAddr]) -> Vec<SocketAddr> {
        let suspected: Vec<SocketAddr> = board.peers.read(|m| {
            let suspected = m.all().filter(|m| m.view.suspected);
            suspected.map(|m| m.view.peer_address).collect()
        });
        let own = board.identity.peer_address;
        suspected
            .into_iter()
            .chain(self.seeds.iter().copied())
            .chain(self.registry.peers().iter().copied())
            .filter(|address| *address != own && !known.contains(address))
            .collect()
    }

    fn exchange(&mut self, edges: &E, board: &SharedState, address: SocketAddr) {
        let request = PeerRequest::Exchange {
            from: own_view(board),
            digest: board.config.read(|s| s.digest()),
            updates: board.peers.next_updates(),
            crashes: board.poison.reports(edges.clock().now_ms()),
        };
        for _ in 0..TRIES {
            let reply = edges.peers().ask(address, &request, ANSWER_TIMEOUT_MS);
            if let Ok(PeerReply::Exchange {
                from,
                updates: news,
                delta,
                crashes,
            }) = reply
            {
                self.compared = true;
                board.poison.merge(&crashes, edges.clock().now_ms());
                return take(edges, board, &from, &news, &delta);
            }
        }
        suspect(board, address, edges.clock().now_ms());
    }

    /// Raises the own counter where this instance has something new to say
    /// of itself, so that the change outranks what is known of it.
    fn note_change(&mut self, board: &SharedState) {
        let says = (board.lifecycle.is_ready(), board.lifecycle.is_departing());
        if says != self.said {
            self.said = says;
            board.peers.raise_own_heartbeat(board.peers.own_heartbeat());
        }
    }

    fn try_ready(&self, board: &SharedState, now_ms: u64) {
        let facts = StartingFacts {
            has_records: board.config.view().revision > 0,
            compared: self.compared,
            knows_peers: !self.registry.has_looked()
                || !self.seeds.is_empty()
                || !self.registry.peers().is_empty(),
        };
        if board.lifecycle.try_ready(facts, now_ms) {
            info!("peers: Ready for callers.");
        }
    }
}

impl<E: Edges> Controller for Gossip<E> {
    type Edges = E;

    const NAME: &'static str = "peers";

    fn step(&mut self, edges: &E, board: &SharedState, now_ms: u64) -> u64 {
        self.registry.step(edges, board, now_ms);
        self.round += 1;
        self.note_change(board);
        board.peers.forget(now_ms);
        if let Some(address) = self.choose(board) {
            self.exchange(edges, board, address);
        }
        self.try_ready(board, edges.clock().now_ms());
        let period_ms = if board.lifecycle.is_starting() {
            STARTING_PERIOD_MS
        } else {
            PERIOD_MS
        };
        // Without jitter, instances that started together ask together.
        rand::rng().random_range(period_ms / 2..period_ms * 3 / 2)
    }

    fn leave(&mut self, edges: &E, board: &SharedState) {
        self.note_change(board);
        self.registry.leave(edges, board);
        for peer in board.peers.live().iter().take(FAREWELLS) {
            self.exchange(edges, board, peer.peer_address);
        }
    }
}

/// Takes a peer's side of an exchange.
fn take<E: Edges>(
    edges: &E,
    board: &SharedState,
    from: &InstanceView,
    news: &[InstanceView],
    delta: &Delta,
) {
    let now_ms = edges.clock().now_ms();
    hear(board, from, news, now_ms);
    let window_ms = board.config.freshness().limit_ms;
    let (heard, known) = board
        .peers
        .read(|m| m.count_alive_within(window_ms, now_ms));
    if Freshness::peers_confirm(heard, known) {
        board.config.confirm(now_ms);
    }
    let held = board.config.read(|s| s.revision());
    if delta.entries.is_empty() && delta.revision <= held {
        return;
    }
    let changed = board.config.update(|store| store.merge_delta(delta));
    if changed > 0 {
        info!("peers: Took {changed} records from a peer.");
    }
}

fn hear(board: &SharedState, from: &InstanceView, news: &[InstanceView], now_ms: u64) {
    let id = &board.identity;
    if from.caller_address != id.caller_address {
        board.peers.merge_direct(from, now_ms);
    }
    for view in news {
        if view.caller_address != id.caller_address {
            board.peers.merge_indirect(view, now_ms);
        } else if view.incarnation == id.incarnation && view.suspected {
            board.peers.raise_own_heartbeat(view.heartbeat);
        }
    }
}

fn suspect(board: &SharedState, peer_address: SocketAddr, now_ms: u64) {
    let suspects = board.peers.live();
    let Some(view) = suspects.iter().find(|v| v.peer_address == peer_address) else {
        return;
    };
    info!("peers: {} does not answer.", view.caller_address);
    board.peers.suspect(view.caller_address, now_ms);
}

fn own_view(board: &SharedState) -> InstanceView {
    let id = &board.identity;
    InstanceView {
        caller_address: id.caller_address,
        peer_address: id.peer_address,
        incarnation: id.incarnation,
        heartbeat: board.peers.own_heartbeat(),
        failure_domain: id.failure_domain.clone(),
        ready: board.lifecycle.is_ready(),
        departing: board.lifecycle.is_departing(),
        suspected: false,
    }
}

/// Answers one request of a peer.
pub fn answer<E: Edges>(edges: &E, board: &SharedState, request: &PeerRequest) -> PeerReply {
    let now_ms = edges.clock().now_ms();
    match request {
        PeerRequest::Exchange {
            from,
            digest,
            updates: news,
            crashes,
        } => {
            hear(board, from, news, now_ms);
            board.poison.merge(crashes, now_ms);
            PeerReply::Exchange {
                from: own_view(board),
                updates: board.peers.next_updates(),
                delta: board.config.read(|s| s.delta_for(digest)),
                crashes: board.poison.reports(now_ms),
            }
        }
        PeerRequest::Crashes { crashes } => hear_crashes(board, crashes, now_ms),
        PeerRequest::Grant { team, tokens } => {
            let view = board.config.view();
            let rate = view.rates.get(team);
            let grant = rate.map(|rate| board.limits.grant(team, rate, *tokens, now_ms));
            let grant = grant.unwrap_or_default();
            PeerReply::Granted {
                tokens: grant.tokens,
                left_tokens: grant.left_tokens,
                part: grant.id,
            }
        }
        PeerRequest::GiveBack { team, part, tokens } => {
            board.limits.take_back(team, *part, *tokens);
            PeerReply::Granted {
                tokens: 0,
                left_tokens: 0,
                part: *part,
            }
        }
    }
}
