//! Claims: what is not repeatable runs at most once.
//!
//! Before such a call leaves, the router creates an object on the platform,
//! named by team and idempotency key. A name is created once, so one claimant
//! wins, whichever instances the caller sends to and whichever of them die. A
//! claim is given up only while it is sure that nothing was sent.

mod body;
mod digest;
mod duplicate;
mod epoch;
mod lifecycle;
mod reply;

pub use {
    body::{ClaimBody, ClaimState},
    digest::digest_of_parts,
    duplicate::{CLAIMED_RETRY_MS, DuplicateResponse, HolderLiveness, duplicate_response},
    epoch::{CLAIM_RETENTION_EPOCHS, EpochBody, EpochTracker, MIN_EPOCH_MS},
    lifecycle::{Claim, ClaimTooOld, Claimed, Sent, Settled, Unclaimed},
    reply::{MAX_STORED_REPLY_BYTES, ReplyBody, StoredReply},
};
