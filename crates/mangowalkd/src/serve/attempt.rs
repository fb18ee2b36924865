use {
    super::{AnswerSink, ChatRequest, Finished, Router, place::cache_salt, poison::identity_of},
    crate::shared_state::{PlacedAttempt, UpstreamAttempt},
    log::{info, warn},
    mangowalk_core::{
        attempt::{Attempt, End, EndedAttempt, Sent, Streaming, Timeouts},
        config::EngineRecord,
        edge::{Clock, Edges, EngineEvents, Engines, SendError},
        engine::{CancelRequest, GenerateEvent, GenerateRequest},
        stream::{Sequencer, Step},
    },
};

/// Longest silence in which a stream's caller is not written to.
///
/// A caller that goes away shows only when it is written to. Without a sign
/// in between, a slow engine would work on for it until its next token.
const SIGN_MS: u64 = 1_000;

/// Priority of a team whose record names none.
const MIDDLE_PRIORITY: u8 = 5;

/// An engine that can take an attempt now.
pub(super) struct Target {
    pub(super) engine: EngineRecord,
    pub(super) incarnation: u64,
    pub(super) version: String,
    pub(super) placed: PlacedAttempt,
}

/// What one wait brought.
enum Next {
    Token,
    /// An event that is nothing to the caller.
    Nothing,
    /// Nothing came.
    Silence,
    End(End),
}

/// One attempt while it runs.
struct Run<'a, E: Edges> {
    router: &'a Router<E>,
    events: <E::Engines as Engines>::Events,
    sequencer: &'a mut Sequencer,
    sink: &'a mut dyn AnswerSink,
    timeouts: Timeouts,
    target: &'a Target,
    finished: Option<Finished>,
}

impl<E: Edges> Router<E> {
    /// Runs one attempt and writes its tokens to the sink. A complete answer
    /// comes with how it finished.
    pub(super) fn attempt(
        &self,
        request: &ChatRequest,
        target: &Target,
        on: UpstreamAttempt,
        timeouts: Timeouts,
        sequencer: &mut Sequencer,
        sink: &mut dyn AnswerSink,
    ) -> (EndedAttempt, Option<Finished>) {
        let _in_flight = self.board.engines.start(&target.engine.name);
        let identity = identity_of(request);
        let _running = self.board.poison.start(&target.engine.name, identity);
        let planned = Attempt::plan(sequencer.next_attempt(target.incarnation));
        let message = self.message(request, target, sequencer, planned.number());
        let sent = planned.send(self.edges.clock().now_ms());
        let mut run = Run {
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
        };
        let ended = run.until_first_token(sent, &on);
        let finished = run.finished;
        on.end(&ended, self.edges.clock().now_ms());
        self.note(request, target, sent.number(), &ended);
        self.note_run(request, target, &ended);
        (ended, finished)
    }

    fn message(
        &self,
        request: &ChatRequest,
        target: &Target,
        sequencer: &Sequencer,
        attempt: u32,
    ) -> GenerateRequest {
        let view = self.board.config.view();
        let priority = view
            .teams
            .get(&request.team)
            .map_or(MIDDLE_PRIORITY, |team| team.priority);
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

    /// Writes down how an attempt ended, and acts on what that tells.
    fn note(&self, request: &ChatRequest, target: &Target, attempt: u32, ended: &EndedAttempt) {
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
            info!("serve: {} changed; its state is read again.", engine.name);
            self.refresh(engine);
        }
        if ended.is_failure() {
            let end = ended.end();
            warn!(
                "serve: Attempt {attempt} of {id} on {} failed ({end:?}).",
                engine.name
            );
        }
    }

    /// Returns whether another engine could take the request of a target.
    fn has_other(&self, target: &Target, now_ms: u64) -> bool {
        let sights = self.board.engines.snapshot();
        let serves = |name: &str| {
            let state = sights.get(name).and_then(|sight| sight.state.as_ref());
            state.is_some_and(|s| s.version == target.version && !s.loading)
        };
        self.board.config.view().engines.values().any(|engine| {
            engine.name != target.engine.name
                && engine.model == target.engine.model
                && !engine.departing
                && serves(&engine.name)
                && self.board.upstreams.usable(&engine.name, now_ms)
        })
    }

    /// Reads an engine's state again, so that the next placement does not
    /// meet the same refusal.
    fn refresh(&self, engine: &EngineRecord) {
        let state = self.edges.engines().state(engine.address).ok();
        let seen_ms = self.edges.clock().now_ms();
        self.board
            .dispatch
            .report(&engine.name, state.as_ref(), seen_ms);
        self.board.engines.update(&engine.name, |sight| {
            sight.state = state;
            sight.seen_ms = seen_ms;
        });
    }
}

impl<E: Edges> Run<'_, E> {
    fn now_ms(&self) -> u64 {
        self.router.edges.clock().now_ms()
    }

    fn until_first_token(&mut self, sent: Attempt<Sent>, on: &UpstreamAttempt) -> EndedAttempt {
        loop {
            let wait_ms = sent.wait_ms(&self.timeouts, self.now_ms());
            match self.next(wait_ms) {
                Next::Nothing => {}
                Next::Silence if sent.number() == 1 && self.may_move() => {
                    return sent.end(End::Stalled);
                }
                Next::Silence => {}
                Next::End(end) => return sent.end(end),
                Next::Token => {
                    let now_ms = self.now_ms();
                    let streaming = sent.first_token(now_ms);
                    self.target.placed.first_token(now_ms);
                    on.first_token(streaming.first_token_ms(), now_ms);
                    return self.until_end(streaming, on);
                }
            }
        }
    }

    fn until_end(
        &mut self,
        mut streaming: Attempt<Streaming>,
        on: &UpstreamAttempt,
    ) -> EndedAttempt {
        loop {
            let wait_ms = streaming.wait_ms(&self.timeouts, self.now_ms());
            match self.next(wait_ms) {
                Next::Nothing => {}
                Next::Silence => on.unheard(self.now_ms()),
                Next::End(end) => return streaming.end(end),
                Next::Token => {
                    let now_ms = self.now_ms();
                    streaming.token(now_ms);
                    on.heard(now_ms);
                }
            }
        }
    }

    /// Returns whether the request may leave its engine before the timeout: it
    /// is stalled, another one is free, and the budget pays for it.
    fn may_move(&self) -> bool {
        let now_ms = self.now_ms();
        let upstreams = &self.router.board.upstreams;
        upstreams.is_stalled(&self.target.engine.name, now_ms)
            && self.router.has_other(self.target, now_ms)
            && upstreams.retry()
    }

    fn next(&mut self, wait_ms: u64) -> Next {
        let until_ms = self.timeouts.request_until_ms;
        let left_ms = until_ms.saturating_sub(self.now_ms());
        if left_ms == 0 {
            return Next::End(End::OverTime);
        }
        if wait_ms == 0 {
            return Next::End(End::Send(SendError::TimedOut));
        }
        match self.events.wait(wait_ms.min(SIGN_MS).min(left_ms)) {
            Ok(Some(event)) => self.take(&event),
            Ok(None) if self.sink.silence().is_err() => Next::End(End::CallerGone),
            Ok(None) => Next::Silence,
            Err(error) => Next::End(End::Send(error)),
        }
    }

    fn take(&mut self, event: &GenerateEvent) -> Next {
        match self.sequencer.take(event) {
            Step::Write(text) if self.sink.token(&text).is_err() => Next::End(End::CallerGone),
            Step::Write(_) => Next::Token,
            Step::Skip => Next::Nothing,
            Step::Fail(fault) => Next::End(End::Stream(fault)),
            Step::Complete {
                finish_reason,
                usage,
            } => {
                self.finished = Some(Finished {
                    finish_reason,
                    usage,
                    engine: self.target.engine.name.clone(),
                });
                Next::End(End::Complete)
            }
        }
    }
}
