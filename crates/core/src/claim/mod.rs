//! Claims make calls that are not idempotent run at most once.
//!
//! Before such a call is sent, the instance creates an object on the platform
//! that is named by team and idempotency key. A name can be created only once,
//! so exactly one instance obtains the claim, whichever instances the caller
//! sends the call to and whichever of them crash. A claim is withdrawn only
//! while it is certain that nothing was sent.

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
