//! Where a request is sent.

mod blocks;

pub use blocks::{BLOCK_BYTES, TOKEN_BYTES, block_chain, tokens_of};
