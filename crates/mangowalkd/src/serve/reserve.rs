use {
    super::Router,
    mangowalk_core::{
        edge::{Clock, Edges, Peers},
        limits::{Grant, RefusedRequest, Reservation, SLOTS_PER_TEAM},
        peer::{PeerReply, PeerRequest},
        record::Rate,
        refusal::Refusal,
    },
    rand::seq::SliceRandom,
    std::{cmp::Reverse, net::SocketAddr, thread, time::Duration},
};

/// Time that a peer has to answer a request for tokens.
const GRANT_TIMEOUT_MS: u64 = 100;

/// Time that gathering may take in all. A grant older than that is dropped:
/// after a pause the tokens belong to a moment long gone.
const GATHER_MS: u64 = 300;

/// Added to a wait for tokens, so that rounding does not end it too soon.
const WAIT_MARGIN_MS: u64 = 2;

/// When a caller should come back to an instance that holds no slot.
const NO_SLOT_RETRY_MS: u64 = 1_000;

/// When a caller should come back whose team has no rate.
const NO_RATE_RETRY_MS: u64 = 60_000;

impl<E: Edges> Router<E> {
    /// Takes tokens of the team's rate, here or from peers.
    ///
    /// # Errors
    ///
    /// A request that can't have its tokens within the longest wait is
    /// refused at once.
    pub(super) fn reserve(&self, team: &str, tokens: u64) -> Result<Reservation, Refusal> {
        let view = self.board.config.view();
        let rate = view.rates.get(team).ok_or(Refusal::RateLimited {
            retry_ms: NO_RATE_RETRY_MS,
        })?;
        if tokens > rate.burst_tokens {
            return Err(Refusal::OverBurst {
                reserve_tokens: tokens,
                burst_tokens: rate.burst_tokens,
            });
        }
        let limits = &self.board.limits;
        let now_ms = self.edges.clock().now_ms();
        if let Some(reservation) = limits.take(team, rate, tokens, now_ms) {
            return Ok(reservation);
        }
        let hopeless = limits.shortages(|s| s.missing_tokens(team, rate, tokens, now_ms));
        match hopeless {
            Some(short_tokens) => Err(self.refuse_short(team, rate, tokens, short_tokens)),
            None => self.gather(team, rate, tokens),
        }
    }

    /// Ends a reservation and puts back what it did not use, here and at the
    /// peers that granted it. A message that is lost loses tokens.
    pub(super) fn settle(&self, reservation: &Reservation, used_tokens: u64) {
        for moved in self.board.limits.settle(reservation, used_tokens) {
            let request = PeerRequest::GiveBack {
                team: reservation.team.clone(),
                part: moved.grant_id,
                tokens: moved.tokens,
            };
            let peers = self.edges.peers();
            let _ = peers.ask(moved.peer, &request, GRANT_TIMEOUT_MS);
        }
    }

    /// Gathers a request's tokens from here and from peers, and waits once if
    /// the rest will be minted soon.
    fn gather(&self, team: &str, rate: &Rate, tokens: u64) -> Result<Reservation, Refusal> {
        let limits = &self.board.limits;
        let mut gathered = Reservation::empty(team);
        let mut elsewhere = self.gather_once(rate, tokens, &mut gathered);
        let mut short_tokens = tokens.saturating_sub(gathered.tokens + elsewhere);
        let now_ms = self.edges.clock().now_ms();
        let wait_ms = limits.shortages(|s| s.wait_ms(team, rate, short_tokens, now_ms));
        if let Some(wait_ms) = wait_ms.filter(|_| gathered.tokens < tokens) {
            limits.shortages(|s| s.begin_wait(team, short_tokens));
            thread::sleep(Duration::from_millis(wait_ms + WAIT_MARGIN_MS));
            limits.shortages(|s| s.end_wait(team, short_tokens));
            elsewhere = self.gather_once(rate, tokens, &mut gathered);
        }
        if gathered.tokens == tokens {
            return Ok(gathered);
        }
        let now_ms = self.edges.clock().now_ms();
        let found = gathered.tokens + elsewhere;
        self.settle(&gathered, 0);
        if found == 0 && limits.slots(now_ms) == 0 {
            return Err(Refusal::Unavailable {
                reason: "This instance holds no share of the rates yet, and no peer gave of its own",
                retry_ms: NO_SLOT_RETRY_MS,
            });
        }
        limits.shortages(|s| s.record_shortage(team, found, now_ms));
        short_tokens = tokens.saturating_sub(found).max(1);
        Err(self.refuse_short(team, rate, tokens, short_tokens))
    }

    /// Adds what is missing to a reservation, and returns how many tokens
    /// peers have left.
    ///
    /// Each peer is first asked for all that is missing. Only if none has
    /// that, but all together do, are parts taken: parts taken for a request
    /// that is refused after all would be missing to smaller ones meanwhile.
    fn gather_once(&self, rate: &Rate, tokens: u64, gathered: &mut Reservation) -> u64 {
        let begun_ms = self.edges.clock().now_ms();
        let missing = tokens - gathered.tokens;
        self.board
            .limits
            .take_up_to(gathered, rate, missing, begun_ms);
        let mut left = Vec::new();
        for peer in self.peers_to_ask(&gathered.team) {
            let grant = self.ask_peer(peer, gathered, tokens, begun_ms);
            if gathered.tokens == tokens {
                return 0;
            }
            left.push((grant.left_tokens, peer));
        }
        let total = |left: &[(u64, SocketAddr)]| left.iter().map(|(tokens, _)| tokens).sum();
        if gathered.tokens + total(&left) < tokens {
            return total(&left);
        }
        left.sort_unstable_by_key(|(tokens, _)| Reverse(*tokens));
        for (left_tokens, peer) in &mut left {
            let part = tokens.min(gathered.tokens + *left_tokens);
            *left_tokens = self.ask_peer(*peer, gathered, part, begun_ms).left_tokens;
            if gathered.tokens == tokens {
                return 0;
            }
        }
        total(&left)
    }

    /// Asks one peer for what a reservation lacks up to so many tokens. The
    /// peer has deducted what it grants before it answers, so a lost answer
    /// loses tokens and can't double them.
    fn ask_peer(
        &self,
        peer: SocketAddr,
        gathered: &mut Reservation,
        up_to: u64,
        begun_ms: u64,
    ) -> Grant {
        let spent_ms = self.edges.clock().now_ms().saturating_sub(begun_ms);
        let missing = up_to - gathered.tokens;
        if missing == 0 || spent_ms > GATHER_MS {
            return Grant::default();
        }
        let request = PeerRequest::Grant {
            team: gathered.team.clone(),
            tokens: missing,
        };
        let reply = self.edges.peers().ask(peer, &request, GRANT_TIMEOUT_MS);
        let spent_ms = self.edges.clock().now_ms().saturating_sub(begun_ms);
        match reply {
            Ok(PeerReply::Granted {
                tokens,
                left_tokens,
                part,
            }) if spent_ms <= GATHER_MS && tokens <= missing => {
                let grant = Grant {
                    tokens,
                    left_tokens,
                    id: part,
                };
                gathered.add_grant(peer, &grant);
                grant
            }
            _ => Grant::default(),
        }
    }

    /// Returns the peers to ask: those that mint the team's tokens, or any
    /// while they are not known. The order is drawn anew, so that no peer is
    /// emptied by all others.
    fn peers_to_ask(&self, team: &str) -> Vec<SocketAddr> {
        let holders = self.board.limits.holders(team);
        let live = self.board.peers.reachable();
        let minting = live
            .iter()
            .filter(|peer| holders.contains(&peer.view.caller_address));
        let mut peers: Vec<SocketAddr> = minting.map(|peer| peer.view.peer_address).collect();
        if peers.is_empty() {
            peers.extend(live.iter().map(|peer| peer.view.peer_address));
        }
        peers.shuffle(&mut rand::rng());
        peers.truncate(SLOTS_PER_TEAM);
        peers
    }

    fn refuse_short(&self, team: &str, rate: &Rate, tokens: u64, short_tokens: u64) -> Refusal {
        let now_ms = self.edges.clock().now_ms();
        let ask = RefusedRequest {
            tokens,
            short_tokens,
            instances: self.board.peers.reachable().len() as u64 + 1,
            jitter: rand::random(),
        };
        let retry_ms = self.board.limits.retry_ms(team, rate, &ask, now_ms);
        Refusal::RateLimited { retry_ms }
    }
}
