use {
    super::Router,
    mangowalk_core::{
        edge::{Clock, Edges, Peers},
        limits::{Reservation, RetryAsk, minting_ms},
        peer::{PeerReply, PeerRequest},
        record::Rate,
        refusal::Refusal,
    },
    rand::seq::SliceRandom,
    std::{net::SocketAddr, thread, time::Duration},
};

/// Time that a peer has to answer a request for tokens.
const GRANT_TIMEOUT_MS: u64 = 100;

/// Time that gathering may take in all. A grant older than that is dropped:
/// after a pause the tokens belong to a moment long gone.
const GATHER_MS: u64 = 300;

/// Peers asked for tokens before a request is refused.
const PEERS_ASKED: usize = 8;

/// Time since the last heartbeat after which a peer is not asked for tokens.
const PEER_SILENT_MS: u64 = 5_000;

/// Longest time that a request waits for tokens that are about to be minted.
pub(crate) const LONGEST_WAIT_MS: u64 = 300;

/// Added to such a wait, so that rounding does not end it too soon.
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
    /// A request that can't have its tokens within [`LONGEST_WAIT_MS`] is
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
        match limits.short_tokens(team, rate, tokens, now_ms) {
            Some(short_tokens) if minting_ms(rate, short_tokens) > LONGEST_WAIT_MS => {
                Err(self.refuse_short(team, rate, tokens, short_tokens))
            }
            _ => self.gather(team, rate, tokens),
        }
    }

    /// Ends a reservation and puts back what it did not use.
    pub(super) fn settle(&self, reservation: &Reservation, used_tokens: u64) {
        self.board.limits.settle(reservation, used_tokens);
    }

    /// Gathers a request's tokens from here and from peers, and waits once if
    /// the rest will be minted soon.
    fn gather(&self, team: &str, rate: &Rate, tokens: u64) -> Result<Reservation, Refusal> {
        let mut gathered = Reservation::empty(team);
        self.gather_once(rate, tokens, &mut gathered);
        let wait_ms = minting_ms(rate, tokens - gathered.tokens);
        if wait_ms > 0 && wait_ms <= LONGEST_WAIT_MS {
            thread::sleep(Duration::from_millis(wait_ms + WAIT_MARGIN_MS));
            self.gather_once(rate, tokens, &mut gathered);
        }
        if gathered.tokens == tokens {
            return Ok(gathered);
        }
        let now_ms = self.edges.clock().now_ms();
        let limits = &self.board.limits;
        limits.settle(&gathered, 0);
        if gathered.tokens == 0 && limits.slots(now_ms) == 0 {
            return Err(Refusal::Unavailable {
                reason: "This instance holds no share of the rates yet, and no peer gave of its own",
                retry_ms: NO_SLOT_RETRY_MS,
            });
        }
        limits.note_scarce(team, gathered.tokens, now_ms);
        Err(self.refuse_short(team, rate, tokens, tokens - gathered.tokens))
    }

    fn gather_once(&self, rate: &Rate, tokens: u64, gathered: &mut Reservation) {
        let begun_ms = self.edges.clock().now_ms();
        let missing = tokens - gathered.tokens;
        self.board.limits.draw(gathered, rate, missing, begun_ms);
        for peer in self.peers_to_ask(begun_ms) {
            let missing = tokens - gathered.tokens;
            if missing == 0 {
                return;
            }
            let granted = self.ask_peer(peer, &gathered.team, missing);
            let now_ms = self.edges.clock().now_ms();
            if now_ms.saturating_sub(begun_ms) > GATHER_MS {
                return;
            }
            gathered.tokens += granted.min(missing);
        }
    }

    /// Asks one peer. The peer has deducted what it grants before it answers,
    /// so a lost answer loses tokens and can't double them.
    fn ask_peer(&self, peer: SocketAddr, team: &str, tokens: u64) -> u64 {
        let request = PeerRequest::Grant {
            team: team.to_owned(),
            tokens,
        };
        match self.edges.peers().ask(peer, &request, GRANT_TIMEOUT_MS) {
            Ok(PeerReply::Granted { tokens }) => tokens,
            _ => 0,
        }
    }

    /// Returns the peers to ask, in an order drawn anew, so that no peer is
    /// emptied by all others.
    fn peers_to_ask(&self, now_ms: u64) -> Vec<SocketAddr> {
        let mut peers: Vec<SocketAddr> = self
            .board
            .peers
            .sights()
            .iter()
            .filter(|peer| now_ms.saturating_sub(peer.heard_ms) < PEER_SILENT_MS)
            .map(|peer| peer.view.peer_address)
            .collect();
        peers.shuffle(&mut rand::rng());
        peers.truncate(PEERS_ASKED);
        peers
    }

    fn refuse_short(&self, team: &str, rate: &Rate, tokens: u64, short_tokens: u64) -> Refusal {
        let now_ms = self.edges.clock().now_ms();
        let ask = RetryAsk {
            tokens,
            short_tokens,
            instances: self.board.peers.sights().len() as u64 + 1,
            jitter: rand::random(),
        };
        let retry_ms = self.board.limits.retry_ms(team, rate, &ask, now_ms);
        Refusal::RateLimited { retry_ms }
    }
}
