use {
    super::{AnswerSink, ChatRequest, Finished, Router, poison::identity_of},
    mangowalk_core::{
        edge::Edges,
        placement::estimate_tokens,
        refusal::{Outcome, Refusal},
    },
};

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
        self.refuse_poison(identity_of(request), Outcome::NotRun)?;
        let reserved = estimate_tokens(&request.prompt) + u64::from(request.max_tokens);
        let reservation = self.reserve(&request.team, reserved)?;
        let result = self.attempts(request, sink);
        let used = match &result {
            Ok(finished) => finished.usage.prompt_tokens + finished.usage.completion_tokens,
            Err(refusal) if refusal.outcome() == Outcome::NotRun => 0,
            Err(_) => reserved,
        };
        self.settle(&reservation, used);
        result
    }
}
