use {
    super::{AnswerSink, ChatRequest, Finished, Router, ServiceRequest},
    mangowalk_core::{
        burn::{End, Observation},
        edge::{Clock, Edges, ServiceReply},
        placement::estimate_tokens,
        refusal::Refusal,
    },
    std::io,
};

/// Objective of a team whose record is gone: a request that was let in before
/// is still counted.
const DEFAULT_FIRST_TOKEN_MS: u64 = 600;

/// Notes when the first token passes, and whether the caller still takes it.
struct TimedSink<'a, C: Clock> {
    sink: &'a mut dyn AnswerSink,
    clock: &'a C,
    first_ms: Option<u64>,
    caller_gone: bool,
}

impl<C: Clock> AnswerSink for TimedSink<'_, C> {
    fn token(&mut self, text: &str) -> io::Result<()> {
        let result = self.sink.token(text);
        self.caller_gone |= result.is_err();
        self.first_ms.get_or_insert(self.clock.now_ms());
        result
    }

    fn silence(&mut self) -> io::Result<()> {
        let result = self.sink.silence();
        self.caller_gone |= result.is_err();
        result
    }
}

impl<E: Edges> Router<E> {
    /// Serves a request for generated text and counts what became of it.
    ///
    /// # Errors
    ///
    /// Returns what the caller is told, and what is known of the outcome.
    pub fn generate_counted(
        &self,
        request: &ChatRequest,
        sink: &mut dyn AnswerSink,
    ) -> Result<Finished, Refusal> {
        let started_ms = self.now_ms();
        let mut timed = TimedSink {
            sink,
            clock: self.edges.clock(),
            first_ms: None,
            caller_gone: false,
        };
        let result = self.generate(request, &mut timed);
        let (first_ms, caller_gone) = (timed.first_ms, timed.caller_gone);
        let asked = estimate_tokens(&request.prompt) + u64::from(request.max_tokens);
        let (end, tokens) = match &result {
            Ok(done) => (
                End::Complete,
                done.usage.prompt_tokens + done.usage.completion_tokens,
            ),
            Err(_) if caller_gone => (End::Abandoned, asked),
            Err(refusal) => (End::from_refusal(refusal, first_ms.is_some()), asked),
        };
        let seen = Observation {
            first_token_ms: first_ms.map(|ms| ms.saturating_sub(started_ms)),
            end,
            tokens,
        };
        self.count(&request.team, &seen);
        result
    }

    /// Serves one call of a plain service and counts what became of it.
    ///
    /// # Errors
    ///
    /// Returns what the caller is told, and what is known of the outcome.
    pub fn call_service_counted(&self, request: &ServiceRequest) -> Result<ServiceReply, Refusal> {
        let result = self.call_service(request);
        let end = match &result {
            Ok(_) => End::Complete,
            Err(refusal) => End::from_refusal(refusal, false),
        };
        let seen = Observation {
            first_token_ms: None,
            end,
            tokens: request.tokens(),
        };
        self.count(&request.team, &seen);
        result
    }

    fn count(&self, team: &str, seen: &Observation) {
        let view = self.board.config.view();
        let objective_ms = view
            .teams
            .get(team)
            .map_or(DEFAULT_FIRST_TOKEN_MS, |t| t.first_token_ms);
        let now_ms = self.now_ms();
        self.board.burn.note(team, seen, objective_ms, now_ms);
    }
}
