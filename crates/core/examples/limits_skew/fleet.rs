use {
    crate::load::Request,
    mangowalk_core::{
        limits::{Ledger, Reservation, SLOTS, Scarcity, homes_of},
        record::Rate,
    },
    rand::{SeedableRng, rngs::StdRng, seq::SliceRandom},
    std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr},
};

const TEAM: &str = "gallery";

/// How an instance that is short of tokens gets more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// Not at all: each spends its own share.
    Static,
    /// It asks peers.
    Moves,
    /// It asks peers, and waits for tokens that are about to be minted.
    MovesAndWait,
}

/// What happens next: an end, an arrival or the end of a wait, by request.
#[derive(PartialEq, Eq, PartialOrd, Ord, Clone, Copy)]
enum Event {
    End(usize),
    Arrive(usize),
    Again(usize),
}

/// Instances that share one team's rate.
pub(crate) struct Fleet {
    ledgers: Vec<Ledger>,
    scarcity: Vec<Scarcity>,
    rate: Rate,
    policy: Policy,
    rng: StdRng,
    /// Questions to peers.
    pub(crate) asked: u64,
    /// Tokens that requests used.
    pub(crate) used: u64,
}

impl Fleet {
    /// Returns instances that hold equal shares of all slots.
    pub(crate) fn new(instances: usize, rate: &Rate, policy: Policy) -> Fleet {
        let mut ledgers = vec![Ledger::default(); instances];
        for slot in 0..SLOTS {
            ledgers[slot as usize * instances / SLOTS as usize].hold(slot, u64::MAX, 0);
        }
        for ledger in &mut ledgers {
            ledger.tokens(TEAM, rate, 0);
        }
        Fleet {
            scarcity: vec![Scarcity::default(); instances],
            ledgers,
            rate: rate.clone(),
            policy,
            rng: StdRng::seed_from_u64(1),
            asked: 0,
            used: 0,
        }
    }

    /// Runs requests and returns which of them were let in.
    pub(crate) fn run(&mut self, requests: &[Request]) -> Vec<bool> {
        let mut events = BinaryHeap::new();
        for (i, request) in requests.iter().enumerate() {
            events.push(Reverse((request.at_ms, Event::Arrive(i))));
        }
        let mut held: Vec<Option<Reservation>> = vec![None; requests.len()];
        let mut waiting = vec![0; requests.len()];
        let mut served = vec![false; requests.len()];
        while let Some(Reverse((now_ms, event))) = events.pop() {
            let (Event::End(i) | Event::Arrive(i) | Event::Again(i)) = event;
            let request = &requests[i];
            let at = self.at(request);
            let mut gathered = held[i].take().unwrap_or_else(|| Reservation::empty(TEAM));
            if event == Event::End(i) {
                self.settle(at, &gathered, request.used);
                self.used += request.used;
                continue;
            }
            let may_wait = event == Event::Arrive(i) && self.policy == Policy::MovesAndWait;
            if event == Event::Arrive(i) && self.hopeless(request, now_ms) {
                continue;
            }
            if let Event::Again(_) = event {
                self.scarcity[at].end_wait(TEAM, waiting[i]);
            }
            let elsewhere = self.reserve(request, &mut gathered, now_ms);
            let found = gathered.tokens + elsewhere;
            if gathered.tokens == request.tokens {
                served[i] = true;
                held[i] = Some(gathered);
                events.push(Reverse((now_ms + request.lasts_ms, Event::End(i))));
                continue;
            }
            let short = request.tokens.saturating_sub(found);
            let wait_ms = self.scarcity[at].wait_ms(TEAM, &self.rate, short, now_ms);
            if let Some(wait_ms) = wait_ms.filter(|_| may_wait) {
                held[i] = Some(gathered);
                waiting[i] = short;
                self.scarcity[at].begin_wait(TEAM, short);
                events.push(Reverse((now_ms + wait_ms + 2, Event::Again(i))));
            } else {
                self.scarcity[at].note(TEAM, found, now_ms);
                self.settle(at, &gathered, 0);
            }
        }
        served
    }

    fn at(&self, request: &Request) -> usize {
        request.instance % self.ledgers.len()
    }

    fn hopeless(&self, request: &Request, now_ms: u64) -> bool {
        let scarcity = &self.scarcity[self.at(request)];
        let short = scarcity.hopeless(TEAM, &self.rate, request.tokens, now_ms);
        short.is_some()
    }

    /// Adds what is missing to what a request has gathered, as the router
    /// does; returns what peers have left.
    fn reserve(&mut self, request: &Request, gathered: &mut Reservation, now_ms: u64) -> u64 {
        let (at, rate, tokens) = (self.at(request), self.rate.clone(), request.tokens);
        let whole = (gathered.tokens == 0)
            .then(|| self.ledgers[at].take(TEAM, &rate, tokens, now_ms))
            .flatten();
        if let Some(whole) = whole {
            *gathered = whole;
            return 0;
        }
        if self.policy == Policy::Static {
            return 0;
        }
        let missing = tokens - gathered.tokens;
        self.ledgers[at].draw(gathered, &rate, missing, now_ms);
        let mut left = Vec::new();
        for peer in self.peers(at) {
            let missing = tokens - gathered.tokens;
            if missing == 0 {
                return 0;
            }
            left.push((self.ask(peer, gathered, missing, now_ms), peer));
        }
        let total: u64 = left.iter().map(|(tokens, _)| tokens).sum();
        if gathered.tokens + total < tokens {
            return total;
        }
        left.sort_unstable_by_key(|(tokens, _)| Reverse(*tokens));
        for (left_tokens, peer) in left {
            let part = left_tokens.min(tokens - gathered.tokens);
            self.ask(peer, gathered, part, now_ms);
        }
        0
    }

    fn ask(&mut self, peer: usize, gathered: &mut Reservation, tokens: u64, now_ms: u64) -> u64 {
        if tokens == 0 {
            return 0;
        }
        self.asked += 1;
        let grant = self.ledgers[peer].grant(TEAM, &self.rate, tokens, now_ms);
        gathered.add(address_of(peer), &grant);
        grant.left_tokens
    }

    fn settle(&mut self, at: usize, reservation: &Reservation, used: u64) {
        for moved in self.ledgers[at].settle(reservation, used) {
            let peer = usize::from(moved.peer.port());
            self.ledgers[peer].take_back(TEAM, moved.part, moved.tokens);
        }
    }

    fn peers(&mut self, but: usize) -> Vec<usize> {
        let instances = self.ledgers.len();
        let mut peers: Vec<usize> = homes_of(TEAM)
            .iter()
            .map(|slot| *slot as usize * instances / SLOTS as usize)
            .filter(|peer| *peer != but)
            .collect();
        peers.sort_unstable();
        peers.dedup();
        peers.shuffle(&mut self.rng);
        peers
    }
}

fn address_of(peer: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], peer as u16))
}
