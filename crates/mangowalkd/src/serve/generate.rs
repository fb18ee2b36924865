use {
    super::{AnswerSink, ChatRequest, Finished, Router, attempt::Target},
    mangowalk_core::{
        config::View,
        edge::Edges,
        placement::tokens_of,
        refusal::{Outcome, Refusal},
    },
    std::collections::HashSet,
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
        let reserved = tokens_of(&request.prompt) + u64::from(request.max_tokens);
        self.reserve(&request.team, reserved)?;
        let result = self.attempts(request, sink);
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

    pub(super) fn place(
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
}
