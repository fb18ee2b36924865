use {
    super::{AnswerSink, ChatRequest, FinishedAnswer, Router, ServiceRequest},
    mangowalk_core::{
        burn::{Observation, RequestEnd},
        edge::{Clock, Edges, ServiceReply},
        placement::estimate_tokens,
        refusal::Refusal,
    },
    std::io,
};

/// First-token objective of a team whose record was withdrawn: a request that
/// was admitted before is still counted.
const DEFAULT_FIRST_TOKEN_MS: u64 = 600;

/// Records the time of the first token, and whether the caller has
/// disconnected.
struct TimedSink<'a, C: Clock> {
    sink: &'a mut dyn AnswerSink,
    clock: &'a C,
    first_ms: Option<u64>,
    caller_disconnected: bool,
}

impl<C: Clock> AnswerSink for TimedSink<'_, C> {
    fn token(&mut self, text: &str) -> io::Result<()> {
        let result = self.sink.token(text);
        self.caller_disconnected |= result.is_err();
        self.first_ms.get_or_insert(self.clock.now_ms());
        result
    }

    fn check_caller(&mut self) -> io::Result<()> {
        let result = self.sink.check_caller();
        self.caller_disconnected |= result.is_err();
        result
    }

    fn silence(&mut self, now_ms: u64) -> io::Result<()> {
        let result = self.sink.silence(now_ms);
        self.caller_disconnected |= result.is_err();
        result
    }
}

impl<E: Edges> Router<E> {
    /// Serves a request for generated text and counts its outcome for the team.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller, with the known outcome of the
    /// request.
    pub fn generate_counted(
        &self,
        request: &ChatRequest,
        sink: &mut dyn AnswerSink,
    ) -> Result<FinishedAnswer, Refusal> {
        let started_ms = self.now_ms();
        let mut timed = TimedSink {
            sink,
            clock: self.edges.clock(),
            first_ms: None,
            caller_disconnected: false,
        };
        let result = self.generate(request, &mut timed);
        let (first_ms, caller_disconnected) = (timed.first_ms, timed.caller_disconnected);
        let reserved_tokens = estimate_tokens(&request.prompt) + u64::from(request.max_tokens);
        let (end, tokens) = match &result {
            Ok(finished) => (
                RequestEnd::Complete,
                finished.usage.prompt_tokens + finished.usage.completion_tokens,
            ),
            Err(_) if caller_disconnected => (RequestEnd::Abandoned, reserved_tokens),
            Err(refusal) => (
                RequestEnd::from_refusal(refusal, first_ms.is_some()),
                reserved_tokens,
            ),
        };
        let observation = Observation {
            first_token_ms: first_ms.map(|ms| ms.saturating_sub(started_ms)),
            end,
            tokens,
        };
        self.count(&request.team, &observation);
        if result.is_ok() {
            let took_ms = self.now_ms().saturating_sub(started_ms);
            self.shared.lifecycle.record_duration(took_ms);
        }
        result
    }

    /// Serves one call of a plain service and counts its outcome for the team.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller, with the known outcome of the call.
    pub fn call_service_counted(
        &self,
        request: &ServiceRequest,
        has_left: &dyn Fn() -> bool,
    ) -> Result<ServiceReply, Refusal> {
        let started_ms = self.now_ms();
        let result = self.call_service(request, has_left);
        if result.is_ok() {
            let took_ms = self.now_ms().saturating_sub(started_ms);
            self.shared.lifecycle.record_duration(took_ms);
        }
        let end = match &result {
            Ok(_) => RequestEnd::Complete,
            Err(_) if has_left() => RequestEnd::Abandoned,
            Err(refusal) => RequestEnd::from_refusal(refusal, false),
        };
        let observation = Observation {
            first_token_ms: None,
            end,
            tokens: request.tokens(),
        };
        self.count(&request.team, &observation);
        result
    }

    fn count(&self, team: &str, observation: &Observation) {
        let view = self.shared.config.view();
        let objective_ms = view
            .teams
            .get(team)
            .map_or(DEFAULT_FIRST_TOKEN_MS, |t| t.first_token_ms);
        let now_ms = self.now_ms();
        self.shared
            .burn
            .record(team, observation, objective_ms, now_ms);
    }
}
