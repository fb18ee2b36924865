use {
    super::{
        AnswerSink, ChatRequest, FinishedAnswer, Router, place::cache_salt, poison::chat_identity,
    },
    crate::shared_state::{PlacedAttempt, UpstreamAttempt},
    log::{info, warn},
    mangowalk_core::{
        attempt::{Attempt, AttemptEnd, EndedAttempt, Sent, Streaming, Timeouts},
        config::EngineRecord,
        edge::{Clock, Edges, EngineEvents, Engines, SendError},
        engine::{CancelRequest, GenerateEvent, GenerateRequest},
        stream::{Sequencer, Step},
    },
};

/// Interval at which it is checked whether the caller is still connected. Writes
/// alone would tell it with the next token, or with the end of a whole answer.
pub(super) const CALLER_CHECK_INTERVAL_MS: u64 = 100;

/// Priority of a team that has no record.
const DEFAULT_PRIORITY: u8 = 5;

/// The engine for the next attempt.
pub(super) struct Target {
    pub(super) engine: EngineRecord,
    pub(super) incarnation: u64,
    pub(super) version: String,
    /// Version of its program; empty if it isn't known.
    pub(super) software: String,
    pub(super) placed: PlacedAttempt,
}

/// Result of one wait for an event of the engine.
enum WaitResult {
    Token,
    /// An event that the caller doesn't get.
    Ignored,
    /// No event within the wait.
    Silence,
    End(AttemptEnd),
}

/// One attempt while it runs.
struct RunningAttempt<'a, E: Edges> {
    router: &'a Router<E>,
    events: <E::Engines as Engines>::Events,
    sequencer: &'a mut Sequencer,
    sink: &'a mut dyn AnswerSink,
    timeouts: Timeouts,
    target: &'a Target,
    finished: Option<FinishedAnswer>,
    /// When it is checked next whether the caller is still connected.
    next_check_ms: u64,
}

impl<E: Edges> Router<E> {
    /// Runs one attempt and writes its tokens to the sink. Returns how the
    /// attempt ended and, if the answer is complete, how it finished.
    pub(super) fn attempt(
        &self,
        request: &ChatRequest,
        target: &Target,
        upstream_attempt: UpstreamAttempt,
        timeouts: Timeouts,
        sequencer: &mut Sequencer,
        sink: &mut dyn AnswerSink,
    ) -> (EndedAttempt, Option<FinishedAnswer>) {
        let _in_flight = self.shared.engines.start(&target.engine.name);
        let identity = chat_identity(request);
        let _running = self.shared.poison.start(&target.engine.name, identity);
        let planned = Attempt::plan(sequencer.next_attempt(target.incarnation));
        let message = self.message(request, target, sequencer, planned.number());
        let sent = planned.send(self.edges.clock().now_ms());
        let mut run = RunningAttempt {
            router: self,
            events: self
                .edges
                .engines()
                .generate(target.engine.address, &message),
            sequencer,
            sink,
            timeouts,
            target,
            finished: None,
            next_check_ms: self.now_ms() + CALLER_CHECK_INTERVAL_MS,
        };
        let ended = run.until_first_token(sent, &upstream_attempt);
        let finished = run.finished;
        upstream_attempt.end(&ended, self.edges.clock().now_ms());
        self.record_end(request, target, sent.number(), &ended);
        self.record_run(request, target, &ended);
        (ended, finished)
    }

    fn message(
        &self,
        request: &ChatRequest,
        target: &Target,
        sequencer: &Sequencer,
        attempt: u32,
    ) -> GenerateRequest {
        let view = self.shared.config.view();
        let priority = view
            .teams
            .get(&request.team)
            .map_or(DEFAULT_PRIORITY, |team| team.priority);
        GenerateRequest {
            request_id: request.request_id.clone(),
            attempt,
            cache_salt: cache_salt(&request.team, &request.model, &target.version),
            model: request.model.clone(),
            version: target.version.clone(),
            incarnation: target.incarnation,
            prompt: request.prompt.clone(),
            max_tokens: request.max_tokens,
            generated: sequencer.tokens().to_vec(),
            priority,
        }
    }

    /// Logs how an attempt ended, and reacts to it: cancels it on the engine if
    /// it may still run there, and reads the engine's state again if the known
    /// one was stale.
    fn record_end(
        &self,
        request: &ChatRequest,
        target: &Target,
        attempt: u32,
        ended: &EndedAttempt,
    ) {
        let engine = &target.engine;
        let id = &request.request_id;
        if ended.needs_cancel() {
            let cancel = CancelRequest {
                request_id: id.clone(),
                attempt,
            };
            self.edges.engines().cancel(engine.address, &cancel);
        }
        if ended.is_stale() {
            info!(
                "serve: The known state of {} is stale; it is read again.",
                engine.name
            );
            self.refresh_state(engine);
        }
        if ended.end() == AttemptEnd::CallerGone {
            info!(
                "serve: The caller of {id} left; attempt {attempt} on {} is cancelled.",
                engine.name
            );
        }
        if ended.is_failure() {
            let end = ended.end();
            warn!(
                "serve: Attempt {attempt} of {id} on {} failed ({end:?}).",
                engine.name
            );
        }
    }

    /// Returns whether another engine serves the target's model and version and
    /// may get an attempt now.
    fn has_alternative(&self, target: &Target, now_ms: u64) -> bool {
        let engines = self.shared.engines.snapshot();
        let serves = |name: &str| {
            let state = engines.get(name).and_then(|known| known.state.as_ref());
            state.is_some_and(|s| s.version == target.version && !s.loading)
        };
        self.shared.config.view().engines.values().any(|engine| {
            engine.name != target.engine.name
                && engine.model == target.engine.model
                && !engine.departing
                && serves(&engine.name)
                && self.shared.upstreams.usable(&engine.name, now_ms)
        })
    }

    /// Reads an engine's state again, so that the next placement does not lead
    /// to the same refusal.
    fn refresh_state(&self, engine: &EngineRecord) {
        let state = self.edges.engines().state(engine.address).ok();
        let polled_ms = self.edges.clock().now_ms();
        self.shared
            .dispatch
            .report(&engine.name, state.as_ref(), polled_ms);
        self.shared.engines.update(&engine.name, |known| {
            known.state = state;
            known.polled_ms = polled_ms;
        });
    }
}

impl<E: Edges> RunningAttempt<'_, E> {
    fn now_ms(&self) -> u64 {
        self.router.edges.clock().now_ms()
    }

    fn until_first_token(
        &mut self,
        sent: Attempt<Sent>,
        upstream_attempt: &UpstreamAttempt,
    ) -> EndedAttempt {
        loop {
            let wait_ms = sent.wait_ms(&self.timeouts, self.now_ms());
            match self.wait_next(wait_ms) {
                WaitResult::Ignored => {}
                WaitResult::Silence if sent.number() == 1 && self.may_switch_engine() => {
                    return sent.end(AttemptEnd::Stalled);
                }
                WaitResult::Silence => {}
                WaitResult::End(end) => return sent.end(end),
                WaitResult::Token => {
                    let now_ms = self.now_ms();
                    let streaming = sent.first_token(now_ms);
                    self.target.placed.first_token(now_ms);
                    upstream_attempt.first_token(streaming.first_token_ms(), now_ms);
                    return self.until_end(streaming, upstream_attempt);
                }
            }
        }
    }

    fn until_end(
        &mut self,
        mut streaming: Attempt<Streaming>,
        upstream_attempt: &UpstreamAttempt,
    ) -> EndedAttempt {
        loop {
            let wait_ms = streaming.wait_ms(&self.timeouts, self.now_ms());
            match self.wait_next(wait_ms) {
                WaitResult::Ignored => {}
                WaitResult::Silence => upstream_attempt.record_silence(self.now_ms()),
                WaitResult::End(end) => return streaming.end(end),
                WaitResult::Token => {
                    let now_ms = self.now_ms();
                    streaming.token(now_ms);
                    upstream_attempt.record_token(now_ms);
                }
            }
        }
    }

    /// Returns whether the request may move to another engine before the
    /// timeout: its engine is stalled, another one is usable, and the retry
    /// budget allows it. In that case the retry is charged.
    fn may_switch_engine(&self) -> bool {
        let now_ms = self.now_ms();
        let upstreams = &self.router.shared.upstreams;
        upstreams.is_stalled(&self.target.engine.name, now_ms)
            && self.router.has_alternative(self.target, now_ms)
            && upstreams.try_retry()
    }

    fn wait_next(&mut self, wait_ms: u64) -> WaitResult {
        let until_ms = self.timeouts.request_until_ms;
        let left_ms = until_ms.saturating_sub(self.now_ms());
        if left_ms == 0 {
            return WaitResult::End(AttemptEnd::OverTime);
        }
        if wait_ms == 0 {
            return WaitResult::End(AttemptEnd::Send(SendError::TimedOut));
        }
        if self.has_caller_left() {
            return WaitResult::End(AttemptEnd::CallerGone);
        }
        match self
            .events
            .wait(wait_ms.min(CALLER_CHECK_INTERVAL_MS).min(left_ms))
        {
            Ok(Some(event)) => self.handle_event(&event),
            Ok(None) => self.handle_silence(),
            Err(error) => WaitResult::End(AttemptEnd::Send(error)),
        }
    }

    fn has_caller_left(&mut self) -> bool {
        let now_ms = self.now_ms();
        if now_ms < self.next_check_ms {
            return false;
        }
        self.next_check_ms = now_ms + CALLER_CHECK_INTERVAL_MS;
        self.sink.check_caller().is_err()
    }

    fn handle_silence(&mut self) -> WaitResult {
        let now_ms = self.now_ms();
        match self.sink.silence(now_ms) {
            Ok(()) => WaitResult::Silence,
            Err(_) => WaitResult::End(AttemptEnd::CallerGone),
        }
    }

    fn handle_event(&mut self, event: &GenerateEvent) -> WaitResult {
        match self.sequencer.process(event) {
            Step::Write(text) if self.sink.token(&text).is_err() => {
                WaitResult::End(AttemptEnd::CallerGone)
            }
            Step::Write(_) => WaitResult::Token,
            Step::Skip => WaitResult::Ignored,
            Step::Fail(fault) => WaitResult::End(AttemptEnd::Stream(fault)),
            Step::Complete {
                finish_reason,
                usage,
            } => {
                self.finished = Some(FinishedAnswer {
                    finish_reason,
                    usage,
                    engine: self.target.engine.name.clone(),
                });
                WaitResult::End(AttemptEnd::Complete)
            }
        }
    }
}
