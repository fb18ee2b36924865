use {
    crate::{
        serve::cache_salt,
        shared_state::{KnownEngine, SharedState},
    },
    mangowalk_core::{
        config::{EngineRecord, View},
        placement::{Choice, PlacementRequest, block_chain},
        status::{Candidate, ExplainRequest},
    },
    std::collections::HashSet,
};

/// Computes the placement of one request without sending it.
pub(super) struct PlacementPreview<'a> {
    shared: &'a SharedState,
    engines: Vec<&'a EngineRecord>,
    model: &'a str,
    version: &'a str,
    chain: Vec<u64>,
    /// Departing engines. They are excluded here because placement applies a
    /// record slightly later than the view.
    departing: HashSet<String>,
    now_ms: u64,
}

impl<'a> PlacementPreview<'a> {
    pub(super) fn new(
        shared: &'a SharedState,
        view: &'a View,
        request: &'a ExplainRequest,
        version: &'a str,
        now_ms: u64,
    ) -> PlacementPreview<'a> {
        let salt = cache_salt(&request.team, &request.model, version);
        let engines = view.engines.values().filter(|e| e.model == request.model);
        let engines: Vec<&EngineRecord> = engines.collect();
        let departing = engines.iter().filter(|e| e.departing);
        let departing = departing.map(|e| e.name.clone()).collect();
        PlacementPreview {
            shared,
            engines,
            model: &request.model,
            version,
            chain: block_chain(&salt, &request.prompt),
            departing,
            now_ms,
        }
    }

    /// Returns the engine that the request would be sent to now.
    pub(super) fn choice(&self) -> Option<Choice> {
        self.choose(&self.departing, false)
    }

    /// Returns the number of whole blocks in the prompt.
    pub(super) fn blocks(&self) -> usize {
        self.chain.len()
    }

    /// Returns every engine of the model, with the reason why it is usable or not.
    pub(super) fn candidates(&self) -> Vec<Candidate> {
        let known = self.shared.engines.snapshot();
        self.engines
            .iter()
            .map(|engine| {
                let (usable, reason) = self.evaluate(engine, known.get(&engine.name));
                Candidate {
                    engine: engine.name.clone(),
                    usable,
                    reason,
                }
            })
            .collect()
    }

    fn evaluate(&self, engine: &EngineRecord, known: Option<&KnownEngine>) -> (bool, String) {
        let no = |reason: &str| (false, reason.to_owned());
        if engine.departing {
            return no("It departs and gets no new requests.");
        }
        let Some(state) = known.and_then(|s| s.state.as_ref()) else {
            return no("It does not answer.");
        };
        if state.loading {
            return no("It loads weights.");
        }
        if state.model != engine.model {
            return (false, format!("It still serves model {}.", state.model));
        }
        if state.version != self.version {
            let version = &state.version;
            return (
                false,
                format!(
                    "It serves version {version}; this prefix stays on {}.",
                    self.version
                ),
            );
        }
        if !self.shared.upstreams.usable(&engine.name, self.now_ms) {
            return no("Attempts on it failed or it is at its limit of attempts.");
        }
        let Some(choice) = self.choose_only(engine, true) else {
            return no("Placement has no report from it yet.");
        };
        if self.choose_only(engine, false).is_none() {
            return no("It has no room for more of this instance's requests.");
        }
        let expected_ms = choice.expected_ms.round();
        let reason = format!(
            "First token expected after {expected_ms} ms; it is estimated to hold {} of {} blocks.",
            choice.held_blocks,
            self.blocks()
        );
        (true, reason)
    }

    /// Returns the placement if this engine were the only one of the model.
    fn choose_only(&self, engine: &EngineRecord, force: bool) -> Option<Choice> {
        let others = self.engines.iter().filter(|e| e.name != engine.name);
        let avoid = others.map(|e| e.name.clone()).collect();
        self.choose(&avoid, force)
    }

    fn choose(&self, avoid: &HashSet<String>, force: bool) -> Option<Choice> {
        let ask = PlacementRequest {
            model: self.model,
            version: self.version,
            chain: &self.chain,
            cache_store_blocks: 0,
            avoid,
            is_usable: &|name| force || self.shared.upstreams.usable(name, self.now_ms),
            force,
            waited_ms: 0,
            queued: self.shared.dispatch.queued(),
        };
        self.shared.dispatch.preview(&ask, self.now_ms)
    }
}
