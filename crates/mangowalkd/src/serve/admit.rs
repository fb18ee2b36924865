use {
    super::{AnswerSink, ChatRequest, Router, attempt::Target, place::cache_salt},
    log::info,
    mangowalk_core::{
        admission::{Job, Verdict},
        config::View,
        edge::{Clock, Edges},
        placement::{block_chain, tokens_of},
        refusal::{Outcome, Refusal},
    },
    std::{collections::HashSet, time::Duration},
};

/// Pause after which a waiting request looks at the queue itself. Answers and
/// reports move the queue; this is for when neither comes.
const LOOK: Duration = Duration::from_millis(50);

/// Looks between two signs to a waiting caller, which show whether it left.
const LOOKS_A_SIGN: u32 = 20;

/// When a caller should come back if no engine serves the model.
const NO_ENGINE_RETRY_MS: u64 = 1_000;

impl<E: Edges> Router<E> {
    /// Waits for a request's turn.
    ///
    /// # Errors
    ///
    /// Refuses at once what would not be served in time.
    pub(super) fn admit(
        &self,
        request: &ChatRequest,
        sink: &mut dyn AnswerSink,
    ) -> Result<Target, Refusal> {
        let view = self.board.config.view();
        let version = self.version_for(request).ok_or(Refusal::Unavailable {
            reason: "No engine serves the model now",
            retry_ms: NO_ENGINE_RETRY_MS,
        })?;
        let job = self.job(request, &view, &version);
        match self.wait_turn(job, sink)? {
            Verdict::Send { choice, .. } => {
                // Read anew: an engine withdrawn meanwhile gets no work.
                let view = self.board.config.view();
                self.target(&view, &version, choice)
                    .ok_or(Refusal::Unavailable {
                        reason: "The engine chosen is departing",
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

    /// Waits for the verdict on a request. One whose caller has gone leaves
    /// the queue: it would take the turn of a caller who is still there.
    fn wait_turn(&self, job: Job, sink: &mut dyn AnswerSink) -> Result<Verdict, Refusal> {
        let dispatch = &self.board.dispatch;
        let (id, verdict) = dispatch.arrive(job, self.edges.clock().now_ms());
        for look in 1.. {
            if let Ok(verdict) = verdict.recv_timeout(LOOK) {
                return Ok(verdict);
            }
            dispatch.pump(self.edges.clock().now_ms());
            if look % LOOKS_A_SIGN == 0 && sink.silence().is_err() {
                break;
            }
        }
        dispatch.leave(id);
        // Its turn may have come in between: the slot must not stay taken.
        if let Ok(Verdict::Send { choice, .. }) = verdict.try_recv() {
            dispatch.ended(&choice, None, self.edges.clock().now_ms());
        }
        Err(Refusal::Lost {
            remedy: "the caller closed the connection",
            outcome: Outcome::NotRun,
        })
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
