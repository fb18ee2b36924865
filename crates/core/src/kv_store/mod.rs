//! KV cache stores, which keep parts of prompts beyond the memory of the engines.
//!
//! The load: hundreds of instances place prompts whose shared parts are asked for
//! again after several seconds, when most engines have evicted them. An instance
//! that doesn't know what the stores hold has every part saved again, which takes
//! the stores' links from those that fetch, and the unshared ends that are saved
//! along push out shared parts. A store answers only a few calls at once, so some
//! instances follow it and report its changes to the others.

mod claims;
mod contents;
mod followers;
mod report;
mod stores;

pub use {
    claims::SaveClaims,
    contents::{StoreContents, kv_store_key},
    followers::{Candidate, served_domains},
    report::KvStoreReport,
    stores::{KvStoreSettings, KvStores},
};
