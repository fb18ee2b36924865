use {
    super::{ChatRequest, Router, attempt::Target, place::cache_salt},
    log::info,
    mangowalk_core::{
        admission::{Job, Verdict},
        config::View,
        edge::{Clock, Edges},
        placement::{Choice, block_chain, tokens_of},
        refusal::Refusal,
    },
    std::{collections::HashSet, time::Duration},
};

/// Pause after which a waiting request looks at the queue itself. Answers and
/// reports move the queue; this is for when neither comes.
const LOOK: Duration = Duration::from_millis(50);

/// When a caller should come back if no engine serves the model.
const NO_ENGINE_RETRY_MS: u64 = 1_000;

/// Versions that a request asks for in turn while weights change.
const VERSION_TRIES: u32 = 3;

impl<E: Edges> Router<E> {
    /// Waits for a request's turn, and returns where its first attempt goes.
    ///
    /// # Errors
    ///
    /// Refuses at once what would not be served in time.
    pub(super) fn admit(&self, request: &ChatRequest) -> Result<Target, Refusal> {
        let mut version = self.version_now(request)?;
        for _ in 1..VERSION_TRIES {
            let refusal = match self.wait_turn(request, &version) {
                Err(refusal @ Refusal::Unavailable { .. }) => refusal,
                other => return other,
            };
            // While weights change, the last engine of a version may be
            // drained under the requests that wait for it. They ask anew for
            // the other version; refused, they would pay for the rollout.
            let now = self.version_now(request)?;
            if now == version {
                return Err(refusal);
            }
            version = now;
        }
        self.wait_turn(request, &version)
    }

    /// Returns the weights version for a request that arrives now.
    fn version_now(&self, request: &ChatRequest) -> Result<String, Refusal> {
        self.board.sync_engines();
        self.version_for(request).ok_or(Refusal::Unavailable {
            reason: "No engine serves the model now",
            retry_ms: NO_ENGINE_RETRY_MS,
        })
    }

    /// Queues a request for a version, and waits for its turn.
    fn wait_turn(&self, request: &ChatRequest, version: &str) -> Result<Target, Refusal> {
        let view = &*self.board.config.view();
        let job = self.job(request, view, version);
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
            Verdict::Send { choice, .. } => self.dispatch(request, version, choice),
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

    /// Checks what may have changed while the request waited, and returns
    /// where its first attempt goes.
    ///
    /// The key may have been withdrawn, and without this look a long queue
    /// would serve it for as long as it is. The engine may have been drained;
    /// another one takes the request then.
    fn dispatch(
        &self,
        request: &ChatRequest,
        version: &str,
        choice: Choice,
    ) -> Result<Target, Refusal> {
        if !self.still_authorized(&request.team, &request.key_digest) {
            let now_ms = self.edges.clock().now_ms();
            self.board.dispatch.ended(&choice, None, now_ms);
            return Err(Refusal::Unauthorized);
        }
        self.target(&self.board.config.view(), version, choice)
            .or_else(|| self.place_again(request, version, &HashSet::new()))
            .ok_or(Refusal::Unavailable {
                reason: "The engine chosen is departing",
                retry_ms: NO_ENGINE_RETRY_MS,
            })
    }

    /// Keeps the queue from sending to upstreams that this instance's own
    /// attempts have shown to be full or broken.
    fn avoid_unusable(&self) {
        let now_ms = self.edges.clock().now_ms();
        let mut unusable = self.board.upstreams.unusable(now_ms);
        unusable.extend(self.board.config.view().closed_engines());
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
