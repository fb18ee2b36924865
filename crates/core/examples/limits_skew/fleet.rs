use {
    crate::load::Request,
    mangowalk_core::{
        limits::{Ledger, Reservation, SLOTS, ShortageTracker, team_slots},
        record::Rate,
    },
    rand::{SeedableRng, rngs::StdRng, seq::SliceRandom},
    std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr},
};

const TEAM: &str = "gallery";

/// How an instance that lacks tokens obtains more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// It doesn't: each instance spends only its own share.
    Static,
    /// It requests tokens from peers.
    Moves,
    /// It requests tokens from peers, and waits for tokens that will be refilled
    /// soon.
    MovesAndWait,
}

/// An event of the request with this index: its end, its arrival, or its second
/// try after a wait. The order decides between events at the same time.
#[derive(PartialEq, Eq, PartialOrd, Ord, Clone, Copy)]
enum Event {
    End(usize),
    Arrive(usize),
    Retry(usize),
}

/// Instances that share one team's rate.
pub(crate) struct Fleet {
    ledgers: Vec<Ledger>,
    shortage_trackers: Vec<ShortageTracker>,
    rate: Rate,
    policy: Policy,
    rng: StdRng,
    /// Number of requests for tokens sent to peers.
    pub(crate) peer_requests: u64,
    /// Tokens used by admitted requests.
    pub(crate) used_tokens: u64,
}

impl Fleet {
    /// Returns a fleet whose instances hold equal shares of all slots.
    pub(crate) fn new(instances: usize, rate: &Rate, policy: Policy) -> Fleet {
        let mut ledgers = vec![Ledger::default(); instances];
        for slot in 0..SLOTS {
            ledgers[slot as usize * instances / SLOTS as usize].hold(slot, u64::MAX, 0);
        }
        for ledger in &mut ledgers {
            ledger.tokens(TEAM, rate, 0);
        }
        Fleet {
            shortage_trackers: vec![ShortageTracker::default(); instances],
            ledgers,
            rate: rate.clone(),
            policy,
            rng: StdRng::seed_from_u64(1),
            peer_requests: 0,
            used_tokens: 0,
        }
    }

    /// Simulates the requests and returns, for each, whether it was admitted.
    pub(crate) fn run(&mut self, requests: &[Request]) -> Vec<bool> {
        let mut events = BinaryHeap::new();
        for (i, request) in requests.iter().enumerate() {
            events.push(Reverse((request.at_ms, Event::Arrive(i))));
        }
        let mut held: Vec<Option<Reservation>> = vec![None; requests.len()];
        let mut waiting = vec![0; requests.len()];
        let mut served = vec![false; requests.len()];
        while let Some(Reverse((now_ms, event))) = events.pop() {
            let (Event::End(i) | Event::Arrive(i) | Event::Retry(i)) = event;
            let request = &requests[i];
            let instance = self.instance_of(request);
            let mut gathered = held[i].take().unwrap_or_else(|| Reservation::empty(TEAM));
            if event == Event::End(i) {
                self.settle(instance, &gathered, request.used_tokens);
                self.used_tokens += request.used_tokens;
                continue;
            }
            let may_wait = event == Event::Arrive(i) && self.policy == Policy::MovesAndWait;
            if event == Event::Arrive(i) && self.lacks_tokens(request, now_ms) {
                continue;
            }
            if let Event::Retry(_) = event {
                self.shortage_trackers[instance].end_wait(TEAM, waiting[i]);
            }
            let elsewhere = self.reserve(request, &mut gathered, now_ms);
            let found = gathered.tokens + elsewhere;
            if gathered.tokens == request.tokens {
                served[i] = true;
                held[i] = Some(gathered);
                events.push(Reverse((now_ms + request.duration_ms, Event::End(i))));
                continue;
            }
            let short = request.tokens.saturating_sub(found);
            let wait_ms = self.shortage_trackers[instance].wait_ms(TEAM, &self.rate, short, now_ms);
            if let Some(wait_ms) = wait_ms.filter(|_| may_wait) {
                held[i] = Some(gathered);
                waiting[i] = short;
                self.shortage_trackers[instance].begin_wait(TEAM, short);
                events.push(Reverse((now_ms + wait_ms + 2, Event::Retry(i))));
            } else {
                self.shortage_trackers[instance].record_shortage(TEAM, found, now_ms);
                self.settle(instance, &gathered, 0);
            }
        }
        served
    }

    fn instance_of(&self, request: &Request) -> usize {
        request.instance % self.ledgers.len()
    }

    fn lacks_tokens(&self, request: &Request, now_ms: u64) -> bool {
        let shortage_tracker = &self.shortage_trackers[self.instance_of(request)];
        let short = shortage_tracker.certain_shortage(TEAM, &self.rate, request.tokens, now_ms);
        short.is_some()
    }

    /// Adds the tokens that a request lacks to those it has gathered, as the
    /// router does. Returns the tokens that peers have left, or 0 if the
    /// request has all of its tokens or peers are not queried.
    fn reserve(&mut self, request: &Request, gathered: &mut Reservation, now_ms: u64) -> u64 {
        let (instance, rate, tokens) =
            (self.instance_of(request), self.rate.clone(), request.tokens);
        let whole = (gathered.tokens == 0)
            .then(|| self.ledgers[instance].take(TEAM, &rate, tokens, now_ms))
            .flatten();
        if let Some(whole) = whole {
            *gathered = whole;
            return 0;
        }
        if self.policy == Policy::Static {
            return 0;
        }
        let missing = tokens - gathered.tokens;
        self.ledgers[instance].take_up_to(gathered, &rate, missing, now_ms);
        let mut left = Vec::new();
        for peer in self.peers(instance) {
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
        self.peer_requests += 1;
        let grant = self.ledgers[peer].grant(TEAM, &self.rate, tokens, now_ms);
        gathered.add_grant(address_of(peer), &grant);
        grant.left_tokens
    }

    fn settle(&mut self, instance: usize, reservation: &Reservation, used_tokens: u64) {
        for grant in self.ledgers[instance].settle(reservation, used_tokens) {
            let peer = usize::from(grant.peer.port());
            self.ledgers[peer].apply_refund(TEAM, grant.grant_id, grant.tokens);
        }
    }

    fn peers(&mut self, excluded: usize) -> Vec<usize> {
        let instances = self.ledgers.len();
        let mut peers: Vec<usize> = team_slots(TEAM)
            .iter()
            .map(|slot| *slot as usize * instances / SLOTS as usize)
            .filter(|peer| *peer != excluded)
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
