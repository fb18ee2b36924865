use {
    super::{
        AnswerSink, ChatRequest, Router,
        attempt::{CALLER_CHECK_INTERVAL_MS, Target},
        place::cache_salt,
    },
    log::info,
    mangowalk_core::{
        admission::{Decision, Job},
        config::View,
        edge::{Clock, Edges},
        placement::{Choice, block_chain, estimate_tokens},
        refusal::{Outcome, Refusal},
    },
    std::{collections::HashSet, time::Duration},
};

/// Interval at which a waiting request triggers a dispatch itself. Finished
/// attempts and engine reports do so too; this covers the case that neither
/// occurs.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// When a caller should retry if no engine serves the model.
const NO_ENGINE_RETRY_MS: u64 = 1_000;

/// Weights versions that a request may wait for in turn during a rollout.
const MAX_VERSION_ATTEMPTS: u32 = 3;

/// Returns the result for a caller that has closed its connection.
pub(super) fn caller_left(outcome: Outcome) -> Refusal {
    Refusal::Lost {
        remedy: "the caller closed the connection",
        outcome,
    }
}

impl<E: Edges> Router<E> {
    /// Waits in the queue until the request is placed on an engine.
    ///
    /// # Errors
    ///
    /// Refuses a request that would not be served in time, without waiting for
    /// that time to pass. Also fails if no engine serves the model, or if the
    /// key was withdrawn while the request was queued.
    pub(super) fn admit(
        &self,
        request: &ChatRequest,
        sink: &mut dyn AnswerSink,
    ) -> Result<Target, Refusal> {
        let mut version = self.current_version(request)?;
        for _ in 1..MAX_VERSION_ATTEMPTS {
            let refusal = match self.wait_for_version(request, &version, sink) {
                Err(refusal @ Refusal::Unavailable { .. }) => refusal,
                other => return other,
            };
            // During a rollout, the last engine of a version may be drained
            // while requests wait for it. They queue again for the other
            // version; otherwise the rollout would cause refusals.
            let current = self.current_version(request)?;
            if current == version {
                return Err(refusal);
            }
            version = current;
        }
        self.wait_for_version(request, &version, sink)
    }

    /// Returns the weights version for a request that arrives now.
    ///
    /// # Errors
    ///
    /// Fails if no engine serves the model.
    fn current_version(&self, request: &ChatRequest) -> Result<String, Refusal> {
        self.shared.apply_engines(&self.shared.config.view());
        self.version_for(request).ok_or(Refusal::Unavailable {
            reason: "No engine serves the model now",
            retry_ms: NO_ENGINE_RETRY_MS,
        })
    }

    /// Waits in the queue until the request is placed on an engine that serves
    /// `version`.
    fn wait_for_version(
        &self,
        request: &ChatRequest,
        version: &str,
        sink: &mut dyn AnswerSink,
    ) -> Result<Target, Refusal> {
        let job = self.job(request, &self.shared.config.view(), version);
        match self.wait_for_decision(job, sink)? {
            Decision::Send { choice, .. } => self.start_dispatched(request, version, choice),
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

    /// Checks what may have changed while the request was queued, and returns
    /// the target of its first attempt.
    ///
    /// The key may have been withdrawn: without this check, a withdrawn key
    /// would be served for as long as the queue is. The engine may have been
    /// drained: the request is then placed on another one.
    fn start_dispatched(
        &self,
        request: &ChatRequest,
        version: &str,
        choice: Choice,
    ) -> Result<Target, Refusal> {
        // The view is loaded again, so that an engine withdrawn meanwhile gets
        // no request.
        let view = self.shared.config.view();
        let target = self.target(&view, version, choice);
        if !self.still_authorized(&request.team, &request.key_digest) {
            return Err(Refusal::Unauthorized);
        }
        let now_ms = self.edges.clock().now_ms();
        let allowed = |name: &str| self.shared.upstreams.allows(name, now_ms);
        target
            .or_else(|| self.place_retry(request, &view, Some(version), &HashSet::new(), &allowed))
            .ok_or(Refusal::Unavailable {
                reason: "The engine chosen is departing",
                retry_ms: NO_ENGINE_RETRY_MS,
            })
    }

    /// Waits until the request is placed or refused.
    ///
    /// # Errors
    ///
    /// Fails if its caller leaves meanwhile. It is taken out of the queue then.
    fn wait_for_decision(&self, job: Job, sink: &mut dyn AnswerSink) -> Result<Decision, Refusal> {
        let dispatch = &self.shared.dispatch;
        let (id, decision) = dispatch.submit(job, self.now_ms());
        let mut next_check_ms = self.now_ms() + CALLER_CHECK_INTERVAL_MS;
        loop {
            if let Ok(decision) = decision.recv_timeout(QUEUE_POLL_INTERVAL) {
                return Ok(decision);
            }
            let now_ms = self.now_ms();
            if now_ms >= next_check_ms {
                next_check_ms = now_ms + CALLER_CHECK_INTERVAL_MS;
                if sink.silence(now_ms).is_err() && dispatch.withdraw(id) {
                    return Err(caller_left(Outcome::NotRun));
                }
            }
            dispatch.dispatch_queued(now_ms);
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
            avoid: self.upstreams_with_other_suspects(request),
            cache_store_blocks: 0,
        }
    }
}
