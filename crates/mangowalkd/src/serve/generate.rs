use {
    super::{AnswerSink, ChatRequest, Finished, Router},
    log::{info, warn},
    mangowalk_core::{
        config::{EngineRecord, View},
        edge::{Clock, Edges, Engines, SendError},
        engine::{CancelRequest, GenerateRequest},
        placement::tokens_of,
        refusal::{Outcome, Refusal},
        stream::{Fault, Sequencer, Step},
    },
    std::collections::HashSet,
};

/// Attempts that one request may use.
const MOST_ATTEMPTS: u32 = 4;

/// When a caller should come back if no engine can take its request.
const NO_ENGINE_RETRY_MS: u64 = 1_000;

/// An engine that can take an attempt now.
struct Target {
    engine: EngineRecord,
    incarnation: u64,
    version: String,
}

/// How one attempt ended.
enum AttemptEnd {
    Complete(Finished),
    CallerGone,
    TryAgain,
}

impl<E: Edges> Router<E> {
    /// Serves a request for generated text, and writes each token to the sink.
    ///
    /// # Errors
    ///
    /// Returns what the caller is told, and what is known of the outcome.
    pub fn generate(
        &self,
        request: &ChatRequest,
        sink: &mut dyn AnswerSink,
    ) -> Result<Finished, Refusal> {
        let view = self.board.config.view();
        if !view.models.contains_key(&request.model) {
            return Err(Refusal::NotFound {
                what: "Model",
                name: request.model.clone(),
            });
        }
        let reserved = tokens_of(&request.prompt) + u64::from(request.max_tokens);
        self.reserve(&request.team, reserved)?;
        let result = self.attempts(request, &view, sink);
        let used = match &result {
            Ok(finished) => finished.usage.prompt_tokens + finished.usage.completion_tokens,
            Err(refusal) if refusal.outcome() == Outcome::NotRun => 0,
            Err(_) => reserved,
        };
        self.board
            .limits
            .put_back(&request.team, reserved.saturating_sub(used));
        result
    }

    fn attempts(
        &self,
        request: &ChatRequest,
        view: &View,
        sink: &mut dyn AnswerSink,
    ) -> Result<Finished, Refusal> {
        let mut tried = HashSet::new();
        let mut bound: Option<(String, Sequencer)> = None;
        for _ in 0..MOST_ATTEMPTS {
            let version = bound.as_ref().map(|(version, _)| version.as_str());
            let Some(target) = self.place(view, &request.model, version, &tried) else {
                break;
            };
            tried.insert(target.engine.name.clone());
            let (_, sequencer) = bound.get_or_insert_with(|| {
                let sequencer = Sequencer::new(&request.request_id, &target.version);
                (target.version.clone(), sequencer)
            });
            match self.attempt(request, &target, sequencer, sink) {
                AttemptEnd::Complete(finished) => return Ok(finished),
                AttemptEnd::CallerGone => {
                    return Err(Refusal::Lost {
                        remedy: "the caller closed the connection",
                        outcome: Outcome::Ran,
                    });
                }
                AttemptEnd::TryAgain => {}
            }
        }
        Err(Self::given_up(bound.as_ref().map(|(_, s)| s)))
    }

    fn given_up(sequencer: Option<&Sequencer>) -> Refusal {
        if sequencer.is_some_and(|s| !s.tokens().is_empty()) {
            return Refusal::Lost {
                remedy: "send it again",
                outcome: Outcome::Ran,
            };
        }
        Refusal::Unavailable {
            reason: "No engine can take the request",
            retry_ms: NO_ENGINE_RETRY_MS,
        }
    }

    fn place(
        &self,
        view: &View,
        model: &str,
        version: Option<&str>,
        tried: &HashSet<String>,
    ) -> Option<Target> {
        let sights = self.board.engines.sights();
        view.engines
            .values()
            .filter(|e| {
                e.model == model
                    && !e.departing
                    && !view.draining.contains(&e.name)
                    && !tried.contains(&e.name)
            })
            .filter_map(|e| {
                let sight = sights.get(&e.name)?;
                let state = sight.state.as_ref().filter(|s| !s.loading)?;
                let fits = state.model == model && version.is_none_or(|v| v == state.version);
                fits.then_some((sight.in_flight, e, state))
            })
            .min_by_key(|(in_flight, _, _)| *in_flight)
            .map(|(_, engine, state)| Target {
                engine: engine.clone(),
                incarnation: state.incarnation,
                version: state.version.clone(),
            })
    }

    fn attempt(
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
