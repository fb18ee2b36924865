use {
    super::{ChatRequest, Router, attempt::Target, place::cache_salt},
    log::info,
    mangowalk_core::{
        admission::{Job, Verdict},
        config::View,
        edge::{Clock, Edges},
        placement::{block_chain, tokens_of},
        refusal::Refusal,
    },
    std::time::Duration,
};

/// Pause after which a waiting request looks at the queue itself. Answers and
/// reports move the queue; this is for when neither comes.
const LOOK: Duration = Duration::from_millis(50);

/// When a caller should come back if no engine serves the model.
const NO_ENGINE_RETRY_MS: u64 = 1_000;

impl<E: Edges> Router<E> {
    /// Waits for a request's turn, and returns where its first attempt goes.
    ///
    /// # Errors
    ///
    /// Refuses at once what would not be served in time.
    pub(super) fn admit(&self, request: &ChatRequest) -> Result<Target, Refusal> {
        let view = &*self.board.config.view();
        let version = self.version_for(request).ok_or(Refusal::Unavailable {
            reason: "No engine serves the model now",
            retry_ms: NO_ENGINE_RETRY_MS,
        })?;
        let job = self.job(request, view, &version);
        self.avoid_unusable();
        let (_, verdict) = self.board.dispatch.arrive(job, self.edges.clock().now_ms());
        let verdict = loop {
            match verdict.recv_timeout(LOOK) {
                Ok(verdict) => break verdict,
                Err(_) => {
                    self.avoid_unusable();
                    self.board.dispatch.pump(self.edges.clock().now_ms());
                }
            }
        };
        match verdict {
            Verdict::Send { choice, .. } => self
                .target(&self.board.config.view(), &version, choice)
                .ok_or(Refusal::Unavailable {
                    reason: "The engine chosen is departing",
                    retry_ms: NO_ENGINE_RETRY_MS,
                }),
            Verdict::Refuse { full, .. } => {
                info!(
                    "admission: Refused {} of {}, expected to wait {} ms.",
                    request.request_id, request.team, full.wait_ms
                );
                Err(Refusal::Unavailable {
                    reason: "Every engine is full",
                    retry_ms: full.retry_ms,
                })
            }
        }
    }

    /// Keeps the queue from sending to upstreams that this instance's own
    /// attempts have shown to be full or broken.
    fn avoid_unusable(&self) {
        let now_ms = self.edges.clock().now_ms();
        let unusable = self.board.upstreams.unusable(now_ms);
        self.board.dispatch.set_avoid(unusable);
    }

    fn job(&self, request: &ChatRequest, view: &View, version: &str) -> Job {
        let salt = cache_salt(&request.team, &request.model, version);
        let rate = view.rates.get(&request.team);
        let team = view.teams.get(&request.team);
        Job {
            id: 0,
            team: request.team.clone(),
            weight: rate.map_or(1.0, |r| r.tokens_per_s as f64),
            priority: team.map_or(9, |t| t.priority),
            tokens: tokens_of(&request.prompt) + u64::from(request.max_tokens),
            arrived_ms: self.edges.clock().now_ms(),
            model: request.model.clone(),
            version: version.to_owned(),
            chain: block_chain(&salt, &request.prompt),
            kept_blocks: 0,
        }
    }
}
