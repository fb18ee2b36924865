use {
    super::{AnswerSink, ChatRequest, FinishedAnswer, Router, poison::chat_identity},
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
    /// Returns the refusal for the caller, with the known outcome of the
    /// request.
    pub fn generate(
        &self,
        request: &ChatRequest,
        sink: &mut dyn AnswerSink,
    ) -> Result<FinishedAnswer, Refusal> {
        let view = self.shared.config.view();
        if !view.models.contains_key(&request.model) {
            return Err(Refusal::NotFound {
                what: "Model",
                name: request.model.clone(),
            });
        }
        self.check_time_to_exit(true)?;
        self.refuse_poisonous(chat_identity(request), Outcome::NotRun)?;
        let reserved_tokens = estimate_tokens(&request.prompt) + u64::from(request.max_tokens);
        let reservation = self.reserve(&request.team, reserved_tokens)?;
        let result = self.attempts(request, sink);
        let used_tokens = match &result {
            Ok(finished) => finished.usage.prompt_tokens + finished.usage.completion_tokens,
            Err(refusal) if refusal.outcome() == Outcome::NotRun => 0,
            Err(_) => reserved_tokens,
        };
        self.settle(&reservation, used_tokens);
        result
    }
}
