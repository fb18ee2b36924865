use {
    super::{AnswerSink, ChatRequest, Finished, Router},
    log::{info, warn},
    mangowalk_core::{
        config::EngineRecord,
        edge::{Clock, Edges, Engines, SendError},
        engine::{CancelRequest, GenerateRequest},
        stream::{Fault, Sequencer, Step},
    },
};

/// An engine that can take an attempt now.
pub(super) struct Target {
    pub(super) engine: EngineRecord,
    pub(super) incarnation: u64,
    pub(super) version: String,
}

/// How one attempt ended.
pub(super) enum AttemptEnd {
    Complete(Finished),
    CallerGone,
    TryAgain,
}

impl<E: Edges> Router<E> {
    /// Runs one attempt and writes its tokens to the sink.
    pub(super) fn attempt(
        &self,
        request: &ChatRequest,
        target: &Target,
        sequencer: &mut Sequencer,
        sink: &mut dyn AnswerSink,
    ) -> AttemptEnd {
        let _in_flight = self.board.engines.start(&target.engine.name);
        let attempt = sequencer.next_attempt();
        let message = self.message(request, target, sequencer, attempt);
        let events = self.edges.engines().generate(
            target.engine.address,
            &message,
            self.settings.token_timeout_ms,
        );
        for event in events {
            let step = match event {
                Ok(event) => sequencer.take(&event),
                Err(error) => return self.failed(request, target, attempt, error),
            };
            match step {
                Step::Write(text) => {
                    if sink.token(&text).is_err() {
                        self.cancel(request, target, attempt);
                        return AttemptEnd::CallerGone;
                    }
                }
                Step::Complete {
                    finish_reason,
                    usage,
                } => {
                    return AttemptEnd::Complete(Finished {
                        finish_reason,
                        usage,
                        engine: target.engine.name.clone(),
                    });
                }
                Step::Skip => {}
                Step::Fail(fault) => return self.faulty(request, target, attempt, fault),
            }
        }
        self.failed(request, target, attempt, SendError::Lost)
    }

    fn message(
        &self,
        request: &ChatRequest,
        target: &Target,
        sequencer: &Sequencer,
        attempt: u32,
    ) -> GenerateRequest {
        GenerateRequest {
            request_id: request.request_id.clone(),
            attempt,
            cache_salt: format!("{}/{}/{}", request.team, request.model, target.version),
            model: request.model.clone(),
            version: target.version.clone(),
            incarnation: target.incarnation,
            prompt: request.prompt.clone(),
            max_tokens: request.max_tokens,
            generated: sequencer.tokens().to_vec(),
            priority: 5,
        }
    }

    fn failed(
        &self,
        request: &ChatRequest,
        target: &Target,
        attempt: u32,
        error: SendError,
    ) -> AttemptEnd {
        warn!(
            "serve: Attempt {attempt} of {} on {} failed. {error}",
            request.request_id, target.engine.name
        );
        let now_ms = self.edges.clock().now_ms();
        self.board
            .engines
            .update(&target.engine.name, |s| s.failed_ms = Some(now_ms));
        if error == SendError::TimedOut {
            self.cancel(request, target, attempt);
        }
        AttemptEnd::TryAgain
    }

    fn faulty(
        &self,
        request: &ChatRequest,
        target: &Target,
        attempt: u32,
        fault: Fault,
    ) -> AttemptEnd {
        info!(
            "serve: Attempt {attempt} of {} on {} gave up ({fault:?}).",
            request.request_id, target.engine.name
        );
        self.cancel(request, target, attempt);
        AttemptEnd::TryAgain
    }

    fn cancel(&self, request: &ChatRequest, target: &Target, attempt: u32) {
        let cancel = CancelRequest {
            request_id: request.request_id.clone(),
            attempt,
        };
        let _ = self.edges.engines().cancel(target.engine.address, &cancel);
    }
}
