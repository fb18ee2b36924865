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

/// Timeout of a peer's reply to a request for tokens or to a refund.
const GRANT_TIMEOUT_MS: u64 = 100;

/// Maximum total time of one round of gathering tokens. A grant that arrives
/// later, for example after the process was paused, is dropped as out of date.
const MAX_GATHER_MS: u64 = 300;

/// Added to a wait for tokens, so that rounding does not end it too early.
const WAIT_MARGIN_MS: u64 = 2;

/// When a caller should retry if this instance holds no slot.
const NO_SLOT_RETRY_MS: u64 = 1_000;

/// When a caller should retry if its team has no rate.
const NO_RATE_RETRY_MS: u64 = 60_000;

impl<E: Edges> Router<E> {
    /// Reserves tokens of the team's rate, from this instance or from peers.
    ///
    /// # Errors
    ///
    /// Fails if the team has no rate, if the request exceeds the burst, or if
    /// its tokens are not available. If they can't be available within the
    /// maximum wait, it fails without waiting.
    pub(super) fn reserve(&self, team: &str, tokens: u64) -> Result<Reservation, Refusal> {
        let view = self.shared.config.view();
        let rate = view.rates.get(team).ok_or(Refusal::RateLimited {
            retry_ms: NO_RATE_RETRY_MS,
        })?;
        if tokens > rate.burst_tokens {
            return Err(Refusal::OverBurst {
                reserve_tokens: tokens,
                burst_tokens: rate.burst_tokens,
            });
        }
        let limits = &self.shared.limits;
        let now_ms = self.edges.clock().now_ms();
        if let Some(reservation) = limits.take(team, rate, tokens, now_ms) {
            return Ok(reservation);
        }
        let missing_tokens = limits.shortages(|s| s.certain_shortage(team, rate, tokens, now_ms));
        match missing_tokens {
            Some(short_tokens) => Err(self.refuse_short(team, rate, tokens, short_tokens)),
            None => self.gather(team, rate, tokens),
        }
    }

    /// Ends a reservation and refunds the tokens that were not used, to this
    /// instance and to the peers that granted them. If a message to a peer is
    /// lost, its tokens are lost.
    pub(super) fn settle(&self, reservation: &Reservation, used_tokens: u64) {
        for peer_grant in self.shared.limits.settle(reservation, used_tokens) {
            let request = PeerRequest::GiveBack {
                team: reservation.team.clone(),
                part: peer_grant.grant_id,
                tokens: peer_grant.tokens,
            };
            let peers = self.edges.peers();
            let _ = peers.ask(peer_grant.peer, &request, GRANT_TIMEOUT_MS);
        }
    }

    /// Gathers a request's tokens from this instance and from peers, and waits
    /// once if the refill will soon provide the rest.
    fn gather(&self, team: &str, rate: &Rate, tokens: u64) -> Result<Reservation, Refusal> {
        let limits = &self.shared.limits;
        let mut gathered = Reservation::empty(team);
        let mut peer_tokens = self.gather_once(rate, tokens, &mut gathered);
        let mut short_tokens = tokens.saturating_sub(gathered.tokens + peer_tokens);
        let now_ms = self.edges.clock().now_ms();
        let wait_ms = limits.shortages(|s| s.wait_ms(team, rate, short_tokens, now_ms));
        if let Some(wait_ms) = wait_ms.filter(|_| gathered.tokens < tokens) {
            limits.shortages(|s| s.begin_wait(team, short_tokens));
            thread::sleep(Duration::from_millis(wait_ms + WAIT_MARGIN_MS));
            limits.shortages(|s| s.end_wait(team, short_tokens));
            peer_tokens = self.gather_once(rate, tokens, &mut gathered);
        }
        if gathered.tokens == tokens {
            return Ok(gathered);
        }
        let now_ms = self.edges.clock().now_ms();
        let available_tokens = gathered.tokens + peer_tokens;
        self.settle(&gathered, 0);
        if available_tokens == 0 && limits.slots(now_ms) == 0 {
            return Err(Refusal::Unavailable {
                reason: "This instance holds no share of the rates yet, and no peer gave of its own",
                retry_ms: NO_SLOT_RETRY_MS,
            });
        }
        limits.shortages(|s| s.record_shortage(team, available_tokens, now_ms));
        short_tokens = tokens.saturating_sub(available_tokens).max(1);
        Err(self.refuse_short(team, rate, tokens, short_tokens))
    }

    /// Adds the missing tokens to a reservation, as far as possible. Returns
    /// how many tokens peers have left.
    ///
    /// Each peer is first asked for all missing tokens. Smaller amounts are
    /// taken only if no peer has enough but all together do: taken for a
    /// request that is refused in the end, they would be unavailable to smaller
    /// requests meanwhile.
    fn gather_once(&self, rate: &Rate, tokens: u64, gathered: &mut Reservation) -> u64 {
        let begun_ms = self.edges.clock().now_ms();
        let missing = tokens - gathered.tokens;
        self.shared
            .limits
            .take_up_to(gathered, rate, missing, begun_ms);
        let mut left_at_peers = Vec::new();
        for peer in self.peers_to_ask(&gathered.team) {
            let grant = self.ask_peer(peer, gathered, tokens, begun_ms);
            if gathered.tokens == tokens {
                return 0;
            }
            left_at_peers.push((grant.left_tokens, peer));
        }
        let total = |left: &[(u64, SocketAddr)]| left.iter().map(|(tokens, _)| tokens).sum();
        if gathered.tokens + total(&left_at_peers) < tokens {
            return total(&left_at_peers);
        }
        left_at_peers.sort_unstable_by_key(|(tokens, _)| Reverse(*tokens));
        for (left_tokens, peer) in &mut left_at_peers {
            let up_to = tokens.min(gathered.tokens + *left_tokens);
            *left_tokens = self.ask_peer(*peer, gathered, up_to, begun_ms).left_tokens;
            if gathered.tokens == tokens {
                return 0;
            }
        }
        total(&left_at_peers)
    }

    /// Asks one peer for the tokens that a reservation lacks to `up_to`. The
    /// peer deducts what it grants before it replies, so a lost reply loses
    /// tokens and can't duplicate them.
    fn ask_peer(
        &self,
        peer: SocketAddr,
        gathered: &mut Reservation,
        up_to: u64,
        begun_ms: u64,
    ) -> Grant {
        let spent_ms = self.edges.clock().now_ms().saturating_sub(begun_ms);
        let missing = up_to - gathered.tokens;
        if missing == 0 || spent_ms > MAX_GATHER_MS {
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
            }) if spent_ms <= MAX_GATHER_MS && tokens <= missing => {
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

    /// Returns the peers to ask, at most `SLOTS_PER_TEAM`: those that hold
    /// slots of the team, or any peers if none of them is known. The order is
    /// random, so that not every instance takes the tokens of the same peer.
    fn peers_to_ask(&self, team: &str) -> Vec<SocketAddr> {
        let holders = self.shared.limits.holders(team);
        let live = self.shared.peers.reachable();
        let holder_peers = live
            .iter()
            .filter(|peer| holders.contains(&peer.view.caller_address));
        let mut peers: Vec<SocketAddr> = holder_peers.map(|peer| peer.view.peer_address).collect();
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
            instances: self.shared.peers.reachable().len() as u64 + 1,
            jitter: rand::random(),
        };
        let retry_ms = self.shared.limits.retry_ms(team, rate, &ask, now_ms);
        Refusal::RateLimited { retry_ms }
    }
}
