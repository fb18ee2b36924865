use {
    super::SharedState,
    mangowalk_core::{
        engine::Usage,
        placement::{BLOCK_BYTES, Choice, TOKEN_BYTES},
    },
    std::{cell::RefCell, sync::Arc},
};

/// Tokens of one block of a prompt.
const BLOCK_TOKENS: u64 = (BLOCK_BYTES / TOKEN_BYTES) as u64;

/// Counts an attempt on the engine where it was placed, until it ends or this
/// guard is dropped.
#[derive(Debug)]
pub struct PlacedAttempt {
    shared: Arc<SharedState>,
    choice: RefCell<Choice>,
    ended: bool,
}

impl PlacedAttempt {
    /// Returns the guard of an attempt that placement recorded as sent.
    pub fn new(shared: Arc<SharedState>, choice: Choice) -> PlacedAttempt {
        PlacedAttempt {
            shared,
            choice: RefCell::new(choice),
            ended: false,
        }
    }

    /// Records the first token.
    pub fn first_token(&self, now_ms: u64) {
        let mut choice = self.choice.borrow_mut();
        self.shared.dispatch.first_token(&mut choice, now_ms);
    }

    /// Records the end, with the engine's usage counts if the answer is
    /// complete.
    pub fn end(mut self, usage: Option<&Usage>, now_ms: u64) {
        self.ended = true;
        let cached_blocks = usage.map(|u| (u.cached_tokens / BLOCK_TOKENS) as usize);
        let choice = self.choice.borrow();
        self.shared.dispatch.ended(&choice, cached_blocks, now_ms);
    }
}

impl Drop for PlacedAttempt {
    fn drop(&mut self) {
        if !self.ended {
            self.shared.dispatch.abandoned(&self.choice.borrow());
        }
    }
}
