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
    std::{collections::HashSet, time::Duration},
};

/// Pause after which a waiting request looks at the queue itself. Answers and
/// reports move the queue; this is for when neither comes.
const LOOK: Duration = Duration::from_millis(50);

/// When a caller should come back if no engine serves the model.
const NO_ENGINE_RETRY_MS: u64 = 1_000;

impl<E: Edges> Router<E> {
    /// Waits for a request's turn.
    ///
    /// # Errors
    ///
    /// Refuses at once what would not be served in time.
    pub(super) fn admit(&self, request: &ChatRequest) -> Result<Target, Refusal> {
        let view = self.board.config.view();
        self.board.take_engines(&view);
        let version = self.version_for(request).ok_or(Refusal::Unavailable {
            reason: "No engine serves the model now",
            retry_ms: NO_ENGINE_RETRY_MS,
        })?;
        let job = self.job(request, &view, &version);
        match self.wait_turn(job) {
            Verdict::Send { choice, .. } => {
                // Read anew: an engine withdrawn meanwhile gets no work, and
                // the request, whose turn has come, goes to another.
                let view = self.board.config.view();
                let gone = HashSet::from([choice.engine.clone()]);
                let anyone = |_: &str| true;
                self.target(&view, &version, choice)
                    .or_else(|| self.place_again(request, &view, None, &gone, &anyone))
                    .ok_or(Refusal::Unavailable {
                        reason: "The only engine left is departing",
                        retry_ms: NO_ENGINE_RETRY_MS,
                    })
            }
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

    fn wait_turn(&self, job: Job) -> Verdict {
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
            tokens: tokens_of(&request.prompt) + u64::from(request.max_tokens),
            arrived_ms: self.edges.clock().now_ms(),
            deadline_ms: request.deadline_ms,
            model: request.model.clone(),
            version: version.to_owned(),
            chain: block_chain(&salt, &request.prompt),
            avoid: HashSet::new(),
            kept_blocks: 0,
        }
    }
}
