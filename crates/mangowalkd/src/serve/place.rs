use {
    super::{ChatRequest, Router, attempt::Target},
    crate::shared_state::{PlacedAttempt, SharedState},
    mangowalk_core::{
        admission::EngineFilter,
        config::View,
        edge::{Clock, Edges},
        placement::{BLOCK_BYTES, Choice, PlacementRequest, block_chain},
    },
    std::collections::HashSet,
};

/// Returns the salt that is part of the keys under which an engine caches a
/// prompt's blocks.
pub(crate) fn cache_salt(team: &str, model: &str, version: &str) -> String {
    format!("{team}/{model}/{version}")
}

/// Returns the weights version for a new request, `None` if no engine serves
/// the model. Prompts with the same first block get the same version while the
/// share of engines that serve it stays the same, and so do all prompts that
/// are shorter than one block.
pub(crate) fn version_of(
    shared: &SharedState,
    team: &str,
    model: &str,
    prompt: &str,
) -> Option<String> {
    let salt = cache_salt(team, model, "");
    let first_block = prompt.get(..BLOCK_BYTES).unwrap_or_default();
    let key = block_chain(&salt, first_block).first().copied();
    shared.dispatch.read(|placement| {
        let version = placement.version(model, key.unwrap_or_default());
        version.map(str::to_owned)
    })
}

impl<E: Edges> Router<E> {
    /// Returns the target for a choice of placement; `None` if the engine was
    /// withdrawn, is departing or is draining.
    pub(super) fn target(&self, view: &View, version: &str, choice: Choice) -> Option<Target> {
        let (name, incarnation) = (choice.engine.clone(), choice.incarnation);
        let placed = PlacedAttempt::new(self.shared.clone(), choice);
        let record = view
            .engines
            .get(&name)
            .filter(|e| !e.departing && !view.draining.contains(&e.name))?;
        let software = self.shared.engines.read(|engines| {
            let state = engines.get(&name).and_then(|known| known.state.as_ref());
            let state = state.filter(|state| state.incarnation == incarnation);
            state.map(|state| state.software.clone())
        });
        Some(Target {
            engine: record.clone(),
            incarnation,
            software: software.unwrap_or_default(),
            version: version.to_owned(),
            placed,
        })
    }

    /// Returns the weights version for a new request, `None` if no engine
    /// serves the model.
    pub(super) fn version_for(&self, request: &ChatRequest) -> Option<String> {
        version_of(&self.shared, &request.team, &request.model, &request.prompt)
    }

    /// Places a request that was admitted before and lost its engine. It is not
    /// queued again, because its caller has received a part of the answer or
    /// has already waited. A stream that has begun is bound to its weights
    /// version.
    pub(super) fn place_retry(
        &self,
        request: &ChatRequest,
        view: &View,
        version: Option<&str>,
        tried: &HashSet<String>,
        is_usable: &EngineFilter<'_>,
    ) -> Option<Target> {
        let mut avoid = tried.clone();
        avoid.extend(view.closed_engines());
        let version = version.map_or_else(|| self.version_for(request), |v| Some(v.to_owned()))?;
        let salt = cache_salt(&request.team, &request.model, &version);
        let chain = block_chain(&salt, &request.prompt);
        let placement_request = PlacementRequest {
            model: &request.model,
            version: &version,
            chain: &chain,
            cache_store_blocks: 0,
            avoid: &avoid,
            is_usable,
            waited_ms: 0,
            queued: 0,
            force: true,
        };
        let now_ms = self.edges.clock().now_ms();
        let choice = self
            .shared
            .dispatch
            .place_retry(&placement_request, now_ms)?;
        self.target(view, &version, choice)
    }
}
