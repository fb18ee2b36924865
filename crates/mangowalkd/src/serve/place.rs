use {
    super::{ChatRequest, Router},
    mangowalk_core::{
        config::{EngineRecord, View},
        edge::{Clock, Edges},
        engine::Usage,
        placement::{Ask, BLOCK_BYTES, Choice, TOKEN_BYTES, block_chain},
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashSet,
    },
};

const BLOCK_TOKENS: u64 = (BLOCK_BYTES / TOKEN_BYTES) as u64;

/// An engine that takes an attempt now. The attempt counts on the engine
/// until this is dropped.
pub(super) struct Target<'a, E: Edges> {
    pub(super) engine: EngineRecord,
    pub(super) incarnation: u64,
    pub(super) version: String,
    router: &'a Router<E>,
    choice: RefCell<Choice>,
    cached_blocks: Cell<Option<usize>>,
}

impl<E: Edges> Target<'_, E> {
    /// Notes that a token came.
    pub(super) fn token(&self) {
        let mut choice = self.choice.borrow_mut();
        if choice.has_first_token() {
            return;
        }
        let now_ms = self.router.edges.clock().now_ms();
        self.router.board.dispatch.first_token(&mut choice, now_ms);
    }

    /// Notes the engine's own counts of a complete answer.
    pub(super) fn complete(&self, usage: &Usage) {
        let blocks = usage.cached_tokens / BLOCK_TOKENS;
        self.cached_blocks.set(Some(blocks as usize));
    }
}

impl<E: Edges> Drop for Target<'_, E> {
    fn drop(&mut self) {
        let now_ms = self.router.edges.clock().now_ms();
        let choice = self.choice.borrow();
        let dispatch = &self.router.board.dispatch;
        dispatch.ended(&choice, self.cached_blocks.get(), now_ms);
    }
}

/// Returns the salt under which an engine caches a prompt's blocks.
pub(super) fn cache_salt(team: &str, model: &str, version: &str) -> String {
    format!("{team}/{model}/{version}")
}

impl<E: Edges> Router<E> {
    /// Returns a target of a decision; none where the engine's record is
    /// gone or departing by now.
    pub(super) fn target(&self, view: &View, version: &str, choice: Choice) -> Option<Target<'_, E>> {
        let record = view.engines.get(&choice.engine).filter(|e| !e.departing);
        let Some(record) = record else {
            let now_ms = self.edges.clock().now_ms();
            self.board.dispatch.ended(&choice, None, now_ms);
            return None;
        };
        Some(Target {
            engine: record.clone(),
            incarnation: choice.incarnation,
            version: version.to_owned(),
            router: self,
            choice: RefCell::new(choice),
            cached_blocks: Cell::new(None),
        })
    }

    /// Returns the weights version for a new request. A prefix keeps to one
    /// version while the share of engines that serve it stays the same.
    pub(super) fn version_for(&self, request: &ChatRequest) -> Option<String> {
        let salt = cache_salt(&request.team, &request.model, "");
        let first_block = request.prompt.get(..BLOCK_BYTES).unwrap_or_default();
        let key = block_chain(&salt, first_block).first().copied();
        self.board.dispatch.read(|placement| {
            let version = placement.version(&request.model, key.unwrap_or_default());
            version.map(str::to_owned)
        })
    }

    /// Places a request that was let in already and lost its engine. It does
    /// not queue again: its caller holds a part of the answer or waited once.
    pub(super) fn place_again(
        &self,
        request: &ChatRequest,
        view: &View,
        version: &str,
        tried: &HashSet<String>,
    ) -> Option<Target<'_, E>> {
        let salt = cache_salt(&request.team, &request.model, version);
        let chain = block_chain(&salt, &request.prompt);
        let ask = Ask {
            model: &request.model,
            version,
            chain: &chain,
            kept_blocks: 0,
            avoid: tried,
            force: true,
        };
        let now_ms = self.edges.clock().now_ms();
        let choice = self.board.dispatch.place_again(&ask, now_ms)?;
        self.target(view, version, choice)
    }
}
