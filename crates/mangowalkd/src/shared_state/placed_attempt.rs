use {
    super::SharedState,
    mangowalk_core::{
        engine::Usage,
        placement::{BLOCK_BYTES, Choice, TOKEN_BYTES},
    },
    std::{cell::RefCell, sync::Arc},
};

const BLOCK_TOKENS: u64 = (BLOCK_BYTES / TOKEN_BYTES) as u64;

/// An attempt that counts on the engine where it was placed, until it ends or
/// this guard is dropped.
#[derive(Debug)]
pub struct PlacedAttempt {
    board: Arc<SharedState>,
    choice: RefCell<Choice>,
    ended: bool,
}

impl PlacedAttempt {
    /// Returns the guard of an attempt that was noted as sent.
    pub fn new(board: Arc<SharedState>, choice: Choice) -> PlacedAttempt {
        PlacedAttempt {
            board,
            choice: RefCell::new(choice),
            ended: false,
        }
    }

    /// Notes the first token.
    pub fn first_token(&self, now_ms: u64) {
        let mut choice = self.choice.borrow_mut();
        self.board.dispatch.first_token(&mut choice, now_ms);
    }

    /// Notes the end, with the engine's own counts if the answer is complete.
    pub fn end(mut self, usage: Option<&Usage>, now_ms: u64) {
        self.ended = true;
        let cached_blocks = usage.map(|u| (u.cached_tokens / BLOCK_TOKENS) as usize);
        let choice = self.choice.borrow();
        self.board.dispatch.ended(&choice, cached_blocks, now_ms);
    }
}

impl Drop for PlacedAttempt {
    fn drop(&mut self) {
        if !self.ended {
            self.board.dispatch.broke_off(&self.choice.borrow());
        }
    }
}
