use {
    super::{ChatRequest, Finished, Router, attempt::Target},
    crate::board::Board,
    mangowalk_core::{
        attempt::{End, Ended},
        config::View,
        edge::{Clock, Edges, SendError},
        placement::{Ask, BLOCK_BYTES, Choice, TOKEN_BYTES, block_chain},
    },
    std::{cell::RefCell, collections::HashSet},
};

const BLOCK_TOKENS: u64 = (BLOCK_BYTES / TOKEN_BYTES) as u64;

/// Returns the salt under which an engine caches a prompt's blocks.
pub(crate) fn cache_salt(team: &str, model: &str, version: &str) -> String {
    format!("{team}/{model}/{version}")
}

/// Returns the weights version for a new request. A prefix keeps to one
/// version while the share of engines that serve it stays the same.
pub(crate) fn version_of(board: &Board, team: &str, model: &str, prompt: &str) -> Option<String> {
    let salt = cache_salt(team, model, "");
    let first_block = prompt.get(..BLOCK_BYTES).unwrap_or_default();
    let key = block_chain(&salt, first_block).first().copied();
    board.dispatch.read(|placement| {
        let version = placement.version(model, key.unwrap_or_default());
        version.map(str::to_owned)
    })
}

impl<E: Edges> Router<E> {
    /// Returns a target of a decision; none where the engine's record is
    /// gone, departing or draining by now.
    pub(super) fn target(&self, view: &View, version: &str, choice: Choice) -> Option<Target> {
        let record = view.engines.get(&choice.engine);
        let record = record.filter(|e| !e.departing && !view.draining.contains(&e.name));
        let Some(record) = record else {
            let now_ms = self.edges.clock().now_ms();
            self.board.dispatch.ended(&choice, None, now_ms);
            return None;
        };
        Some(Target {
            engine: record.clone(),
            incarnation: choice.incarnation,
            version: version.to_owned(),
            choice: RefCell::new(choice),
        })
    }

    /// Notes that a token came.
    pub(super) fn note_token(&self, target: &Target) {
        let mut choice = target.choice.borrow_mut();
        if !choice.has_first_token() {
            let now_ms = self.edges.clock().now_ms();
            self.board.dispatch.first_token(&mut choice, now_ms);
        }
    }

    /// Notes the end of an attempt, and the engine's own count of what it
    /// found in its cache.
    pub(super) fn note_end(&self, target: &Target, finished: Option<&Finished>) {
        let cached_blocks = finished.map(|f| (f.usage.cached_tokens / BLOCK_TOKENS) as usize);
        let now_ms = self.edges.clock().now_ms();
        let dispatch = &self.board.dispatch;
        dispatch.ended(&target.choice.borrow(), cached_blocks, now_ms);
    }

    /// Notes that an engine does not answer, so that it gets no work until it
    /// reports again.
    pub(super) fn note_unreached(&self, target: &Target, ended: &Ended) {
        if ended.end() == End::Send(SendError::NotConnected) {
            let now_ms = self.edges.clock().now_ms();
            self.board
                .dispatch
                .report(&target.engine.name, None, now_ms);
        }
    }

    /// Returns the weights version for a new request.
    pub(super) fn version_for(&self, request: &ChatRequest) -> Option<String> {
        version_of(&self.board, &request.team, &request.model, &request.prompt)
    }

    /// Places a request that was let in already and lost its engine. It does
    /// not queue again: its caller holds a part of the answer or waited once.
    pub(super) fn place_again(
        &self,
        request: &ChatRequest,
        version: &str,
        avoid: &HashSet<String>,
    ) -> Option<Target> {
        let view = self.board.config.view();
        let mut avoid = avoid.clone();
        avoid.extend(view.closed_engines());
        let salt = cache_salt(&request.team, &request.model, version);
        let chain = block_chain(&salt, &request.prompt);
        let ask = Ask {
            model: &request.model,
            version,
            chain: &chain,
            kept_blocks: 0,
            avoid: &avoid,
            force: true,
        };
        let now_ms = self.edges.clock().now_ms();
        let choice = self.board.dispatch.place_again(&ask, now_ms)?;
        // Read anew for each attempt: an engine withdrawn meanwhile gets none.
        self.target(&view, version, choice)
    }
}
