use {
    super::{Controller, crashes::hear_crashes},
    crate::board::Board,
    log::info,
    mangowalk_core::{
        edge::{Clock, Edges, Peers, Platform},
        peer::{ConfigEntry, InstanceView, PeerReply, PeerRequest},
        platform::{Expect, ObjectKey, own_kind},
    },
    rand::seq::IndexedRandom,
    serde_json::json,
    std::{marker::PhantomData, net::SocketAddr},
};

/// Pause between two exchanges.
const PERIOD_MS: u64 = 500;

/// Time that a peer has to answer.
const ANSWER_TIMEOUT_MS: u64 = 400;

/// Exchanges between two reads of the platform's list of instances.
const ROUNDS_A_LIST: u64 = 20;

/// Exchanges heartbeats, records and crash counts with other instances.
pub struct Gossip<E> {
    seeds: Vec<SocketAddr>,
    round: u64,
    registered: bool,
    edges: PhantomData<fn() -> E>,
}

impl<E: Edges> Gossip<E> {
    /// Returns a controller that knows these peers at start.
    pub fn new(seeds: &[SocketAddr]) -> Gossip<E> {
        Gossip {
            seeds: seeds.to_vec(),
            round: 0,
            registered: false,
            edges: PhantomData,
        }
    }

    fn register(&mut self, edges: &E, board: &Board) {
        let id = &board.identity;
        let name = id.caller_address.to_string();
        let body = json!({ "schema": 1, "peer_address": id.peer_address,
            "operator_address": board.operator_address });
        let key = ObjectKey::new(own_kind::INSTANCE, &name);
        self.registered = edges.platform().put(&key, Expect::Any, &body).is_ok();
    }

    fn read_list(&mut self, edges: &E, board: &Board) {
        let Ok(list) = edges.platform().list(&[own_kind::INSTANCE]) else {
            return;
        };
        for object in &list.objects {
            let address = object.body["peer_address"].as_str();
            let Some(address) = address.and_then(|a| a.parse().ok()) else {
                continue;
            };
            if address != board.identity.peer_address && !self.seeds.contains(&address) {
                self.seeds.push(address);
            }
        }
    }

    fn exchange(&self, edges: &E, board: &Board) {
        let Some(address) = self.seeds.choose(&mut rand::rng()) else {
            return;
        };
        let revision = board.config.read(|s| s.revision());
        let request = PeerRequest::Exchange {
            from: own_view(board, self.round),
            revision,
            entries: Vec::new(),
            crashes: board.poison.sights(edges.clock().now_ms()),
        };
        let Ok(PeerReply::Exchange {
            from,
            others,
            entries,
            revision: theirs,
            crashes,
        }) = edges.peers().ask(*address, &request, ANSWER_TIMEOUT_MS)
        else {
            return;
        };
        let now_ms = edges.clock().now_ms();
        board.peers.hear(&from, now_ms);
        for view in others {
            hear(board, &view, now_ms);
        }
        merge(board, &entries, theirs);
        board.poison.merge(&crashes, now_ms);
    }
}

impl<E: Edges> Controller for Gossip<E> {
    type Edges = E;

    const NAME: &'static str = "peers";

    fn step(&mut self, edges: &E, board: &Board, _now_ms: u64) -> u64 {
        if !self.registered {
            self.register(edges, board);
        }
        if self.round.is_multiple_of(ROUNDS_A_LIST) {
            self.read_list(edges, board);
        }
        self.round += 1;
        self.exchange(edges, board);
        PERIOD_MS
    }
}

fn own_view(board: &Board, heartbeat: u64) -> InstanceView {
    let id = &board.identity;
    InstanceView {
        caller_address: id.caller_address,
        peer_address: id.peer_address,
        incarnation: id.incarnation,
        heartbeat,
        failure_domain: id.failure_domain.clone(),
        ready: board.config.read(|s| s.revision()) > 0,
        departing: board.life.is_departing(),
    }
}

fn hear(board: &Board, view: &InstanceView, now_ms: u64) {
    if view.caller_address != board.identity.caller_address {
        board.peers.hear(view, now_ms);
    }
}

fn merge(board: &Board, entries: &[ConfigEntry], revision: u64) {
    if entries.is_empty() {
        return;
    }
    info!("peers: Took {} records from a peer.", entries.len());
    board.config.update(|store| {
        for entry in entries {
            store.merge_peer(entry);
        }
        store.advance(revision);
    });
}

/// Answers one request of a peer.
pub fn answer<E: Edges>(edges: &E, board: &Board, request: &PeerRequest) -> PeerReply {
    let now_ms = edges.clock().now_ms();
    match request {
        PeerRequest::Exchange {
            from,
            revision,
            crashes,
            ..
        } => {
            hear(board, from, now_ms);
            board.poison.merge(crashes, now_ms);
            let (entries, held) = board
                .config
                .read(|s| (s.newer_than(*revision), s.revision()));
            PeerReply::Exchange {
                from: own_view(board, now_ms),
                others: board.peers.sights().into_iter().map(|s| s.view).collect(),
                revision: held,
                entries,
                crashes: board.poison.sights(now_ms),
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
                part: grant.part,
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
