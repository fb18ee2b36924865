use {
    super::{ChatRequest, Router, attempt::Target, place::cache_salt},
    log::info,
    mangowalk_core::{
        admission::{Decision, Job},
        config::View,
        edge::{Clock, Edges},
        placement::{Choice, block_chain, estimate_tokens},
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
    /// Waits for a request's turn.
    ///
    /// # Errors
    ///
    /// Refuses at once what would not be served in time.
    pub(super) fn admit(&self, request: &ChatRequest) -> Result<Target, Refusal> {
        let mut version = self.version_now(request)?;
        for _ in 1..VERSION_TRIES {
            let refusal = match self.wait_for(request, &version) {
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
        self.wait_for(request, &version)
    }

    /// Returns the weights version for a request that arrives now.
    fn version_now(&self, request: &ChatRequest) -> Result<String, Refusal> {
        self.board.apply_engines(&self.board.config.view());
        self.version_for(request).ok_or(Refusal::Unavailable {
            reason: "No engine serves the model now",
            retry_ms: NO_ENGINE_RETRY_MS,
        })
    }

    /// Waits for a request's turn on an engine that serves a version.
    fn wait_for(&self, request: &ChatRequest, version: &str) -> Result<Target, Refusal> {
        let job = self.job(request, &self.board.config.view(), version);
        match self.wait_turn(job) {
            Decision::Send { choice, .. } => self.dispatch(request, version, choice),
            Decision::Refuse { refusal, .. } => {
                info!(
                    "admission: Refused {} of {}, expected to wait {} ms.",
                    request.request_id, request.team, refusal.wait_ms
                );
                Err(Refusal::Unavailable {
                    reason: "Every engine is full",
                    retry_ms: refusal.retry_ms,
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
        // Read anew: an engine withdrawn meanwhile gets no work.
        let view = self.board.config.view();
        let target = self.target(&view, version, choice);
        if !self.still_authorized(&request.team, &request.key_digest) {
            return Err(Refusal::Unauthorized);
        }
        let now_ms = self.edges.clock().now_ms();
        let allowed = |name: &str| self.board.upstreams.allows(name, now_ms);
        target
            .or_else(|| self.place_again(request, &view, Some(version), &HashSet::new(), &allowed))
            .ok_or(Refusal::Unavailable {
                reason: "The engine chosen is departing",
                retry_ms: NO_ENGINE_RETRY_MS,
            })
    }

    fn wait_turn(&self, job: Job) -> Decision {
        let dispatch = &self.board.dispatch;
        let verdict = dispatch.arrive(job, self.edges.clock().now_ms());
        loop {
            match verdict.recv_timeout(LOOK) {
                Ok(verdict) => return verdict,
                Err(_) => dispatch.pump(self.edges.clock().now_ms()),
            }
        }
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
            tokens: estimate_tokens(&request.prompt) + u64::from(request.max_tokens),
            arrived_ms: self.edges.clock().now_ms(),
            deadline_ms: request.deadline_ms,
            model: request.model.clone(),
            version: version.to_owned(),
            chain: block_chain(&salt, &request.prompt),
            avoid: self.suspects_apart_from(request),
            stored_blocks: 0,
        }
    }
}
