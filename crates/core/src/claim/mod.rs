//! Claims: what is not repeatable runs at most once.
//!
//! Before such a call leaves, the router creates an object on the platform,
//! named by team and idempotency key. A name is created once, so one claimant
//! wins, whichever instances the caller sends to and whichever of them die. A
//! claim is given up only while it is sure that nothing was sent.

mod body;
mod digest;
mod epoch;
mod judge;
mod life;
mod reply;

pub use {
    body::{ClaimBody, ClaimState},
    digest::digest_of_parts,
    epoch::{EPOCH_MS, EpochBody, EpochWatch, KEPT_EPOCHS},
    judge::{CLAIMED_RETRY_MS, Holder, Verdict, judge},
    life::{Claim, Claimed, ClaimedTooLong, Sent, Settled, Unclaimed},
    reply::{LONGEST_REPLY_BYTES, ReplyBody, StoredReply},
};
