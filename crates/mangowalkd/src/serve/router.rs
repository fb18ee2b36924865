use {
    crate::{board::Board, cli::Settings},
    mangowalk_core::{
        edge::{Clock, Edges, Peers},
        peer::{PeerReply, PeerRequest},
        record::Rate,
        refusal::Refusal,
    },
    std::sync::Arc,
};

/// Time that a peer has to answer a request for tokens.
const GRANT_TIMEOUT_MS: u64 = 100;

/// Peers asked for tokens before a request is refused.
const PEERS_ASKED: usize = 3;

/// Serves requests with what the board knows.
pub struct Router<E: Edges> {
    pub(crate) edges: Arc<E>,
    pub(super) board: Arc<Board>,
    pub(super) settings: Settings,
}

impl<E: Edges> Router<E> {
    /// Returns a router over a board.
    pub fn new(edges: Arc<E>, board: Arc<Board>, settings: Settings) -> Router<E> {
        Router {
            edges,
            board,
            settings,
        }
    }

    /// Returns the board.
    pub fn board(&self) -> &Board {
        &self.board
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the team that a key authenticates.
    ///
    /// # Errors
    ///
    /// Fails where the key is wrong or withdrawn, or no record is held yet.
    pub fn authenticate(&self, key: Option<&str>) -> Result<String, Refusal> {
        let view = self.board.config.view();
        if view.revision == 0 {
            return Err(Refusal::Unavailable {
                reason: "This instance has no configuration yet",
                retry_ms: 1_000,
            });
        }
        key.and_then(|key| view.team_of_key(key))
            .map(str::to_owned)
            .ok_or(Refusal::Unauthorized)
    }

    /// Takes tokens of the team's rate, here or from a peer.
    pub(super) fn reserve(&self, team: &str, tokens: u64) -> Result<(), Refusal> {
        let view = self.board.config.view();
        let rate = view
            .rates
            .get(team)
            .ok_or(Refusal::RateLimited { retry_ms: 60_000 })?;
        if tokens > rate.burst_tokens {
            return Err(Refusal::OverBurst {
                reserve_tokens: tokens,
                burst_tokens: rate.burst_tokens,
            });
        }
        let now_ms = self.edges.clock().now_ms();
        if self.board.limits.take(team, rate, tokens, now_ms) || self.ask_peers(team, tokens) {
            return Ok(());
        }
        Err(Refusal::RateLimited {
            retry_ms: refill_ms(rate, tokens),
        })
    }

    fn ask_peers(&self, team: &str, tokens: u64) -> bool {
        let request = PeerRequest::Grant {
            team: team.to_owned(),
            tokens,
        };
        self.board
            .peers
            .sights()
            .iter()
            .take(PEERS_ASKED)
            .any(|peer| {
                let reply =
                    self.edges
                        .peers()
                        .ask(peer.view.peer_address, &request, GRANT_TIMEOUT_MS);
                reply == Ok(PeerReply::Granted { tokens })
            })
    }
}

fn refill_ms(rate: &Rate, tokens: u64) -> u64 {
    (tokens * 1_000).div_ceil(rate.tokens_per_s).max(1)
}
