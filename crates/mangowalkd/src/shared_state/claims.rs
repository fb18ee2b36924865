use {
    super::lock,
    flume::{Receiver, Sender},
    mangowalk_core::{
        claim::{Claim, Claimed, EpochBody, EpochTracker, Settled},
        platform::{Expect, ObjectKey},
    },
    serde_json::Value,
    std::{sync::Mutex, time::Duration},
};

/// Writes that may wait for the platform.
const MOST_WAITING: usize = 1_024;

/// Waiting writes above which answers are dropped from them, so that an
/// outage of the platform does not fill the memory.
const MOST_WITH_REPLY: usize = 64;

/// Looks for a claim whose write got no answer, a second apart.
const MOST_LOOKS: u32 = 5;

/// A write of a claim that no caller waits for.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimWrite {
    /// Write the outcome.
    Settle {
        /// Identity of the claim.
        key: ObjectKey,
        /// Condition.
        expect: Expect,
        /// Body with the outcome.
        body: Value,
    },
    /// Delete a claim under which nothing was sent.
    Withdraw {
        /// Identity of the claim.
        key: ObjectKey,
        /// Condition.
        expect: Expect,
    },
    /// Delete a claim under which nothing was sent, if it came to be after
    /// all.
    WithdrawNonce {
        /// Identity of the claim.
        key: ObjectKey,
        /// Nonce of the claim.
        nonce: u64,
        /// Looks that are left: the claim's write may still be under way.
        checks_left: u32,
    },
}

/// Claims of this instance whose outcome is still to be written.
#[derive(Debug)]
pub struct SharedClaims {
    sender: Sender<ClaimWrite>,
    receiver: Receiver<ClaimWrite>,
    epoch: Mutex<EpochTracker>,
}

impl Default for SharedClaims {
    fn default() -> SharedClaims {
        let (sender, receiver) = flume::bounded(MOST_WAITING);
        SharedClaims {
            sender,
            receiver,
            epoch: Mutex::default(),
        }
    }
}

impl SharedClaims {
    /// Has an outcome written. One that does not fit any more is dropped:
    /// later callers are then told that it is unknown, which is true.
    pub fn settle(&self, mut claim: Claim<Settled>) {
        if self.sender.len() > MOST_WITH_REPLY {
            claim.drop_reply();
        }
        let write = ClaimWrite::Settle {
            key: claim.key(),
            expect: claim.expect(),
            body: serde_json::to_value(claim.body()).unwrap_or_default(),
        };
        let _ = self.sender.try_send(write);
    }

    /// Has a claim deleted under which nothing was sent.
    pub fn withdraw(&self, claim: &Claim<Claimed>) {
        let write = ClaimWrite::Withdraw {
            key: claim.key(),
            expect: claim.expect(),
        };
        let _ = self.sender.try_send(write);
    }

    /// Has a claim deleted that may have come to be.
    pub fn withdraw_nonce(&self, key: ObjectKey, nonce: u64) {
        let write = ClaimWrite::WithdrawNonce {
            key,
            nonce,
            checks_left: MOST_LOOKS,
        };
        let _ = self.sender.try_send(write);
    }

    /// Puts a write back that the platform did not take.
    pub fn requeue(&self, write: ClaimWrite) {
        let _ = self.sender.try_send(write);
    }

    /// Waits for the next write.
    pub fn next(&self, wait: Duration) -> Option<ClaimWrite> {
        self.receiver.recv_timeout(wait).ok()
    }

    /// Returns how many writes wait.
    pub fn pending(&self) -> usize {
        self.receiver.len()
    }

    /// Notes the epoch that the platform holds.
    pub fn observe_epoch(&self, version: u64, body: EpochBody, now_ms: u64) {
        lock(&self.epoch).observe(version, body, now_ms);
    }

    /// Returns the present epoch, if it is known.
    pub fn epoch(&self, now_ms: u64) -> Option<u64> {
        lock(&self.epoch).current_epoch(now_ms)
    }

    /// Returns a copy of what is known of epochs.
    pub fn epoch_tracker(&self) -> EpochTracker {
        lock(&self.epoch).clone()
    }
}
