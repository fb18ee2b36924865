use {
    super::lock,
    flume::{Receiver, Sender},
    mangowalk_core::{
        claim::{Claim, Claimed, EpochBody, EpochTracker, Settled},
        platform::{ObjectKey, Precondition},
    },
    serde_json::Value,
    std::{sync::Mutex, time::Duration},
};

/// Claim writes that may wait for the platform. Further ones are dropped.
const MAX_PENDING_WRITES: usize = 1_024;

/// Pending writes above which new ones are stored without the service's reply,
/// so that an outage of the platform does not exhaust memory.
const MAX_PENDING_WITH_REPLY: usize = 64;

/// Checks for a claim whose write got no reply, one second apart.
const MAX_NONCE_CHECKS: u32 = 5;

/// A write of a claim, done in the background.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimWrite {
    /// Writes the outcome of the call.
    Settle {
        /// Key of the claim's object.
        key: ObjectKey,
        /// Version of the object that the write requires.
        expect: Precondition,
        /// Body with the outcome.
        body: Value,
    },
    /// Deletes a claim whose call was never sent.
    Withdraw {
        /// Key of the claim's object.
        key: ObjectKey,
        /// Version of the object that the deletion requires.
        expect: Precondition,
    },
    /// Deletes a claim whose call was never sent, if its creation took effect
    /// although the reply to it was lost.
    WithdrawNonce {
        /// Key of the claim's object.
        key: ObjectKey,
        /// Nonce of the claim, which tells it from a claim of another request.
        nonce: u64,
        /// Remaining checks: the write that creates the claim may still be in
        /// flight.
        checks_left: u32,
    },
}

/// Queue of claim writes of this instance, and the current epoch.
#[derive(Debug)]
pub struct SharedClaims {
    sender: Sender<ClaimWrite>,
    receiver: Receiver<ClaimWrite>,
    epoch: Mutex<EpochTracker>,
}

impl Default for SharedClaims {
    fn default() -> SharedClaims {
        let (sender, receiver) = flume::bounded(MAX_PENDING_WRITES);
        SharedClaims {
            sender,
            receiver,
            epoch: Mutex::default(),
        }
    }
}

impl SharedClaims {
    /// Queues the write of an outcome. It is dropped if the queue is full;
    /// retries are then told that the outcome is unknown, which is correct.
    pub fn settle(&self, mut claim: Claim<Settled>) {
        if self.sender.len() > MAX_PENDING_WITH_REPLY {
            claim.drop_reply();
        }
        let write = ClaimWrite::Settle {
            key: claim.key(),
            expect: claim.expect(),
            body: serde_json::to_value(claim.body()).unwrap_or_default(),
        };
        let _ = self.sender.try_send(write);
    }

    /// Queues the deletion of a claim whose call was never sent. It is dropped
    /// if the queue is full.
    pub fn withdraw(&self, claim: &Claim<Claimed>) {
        let write = ClaimWrite::Withdraw {
            key: claim.key(),
            expect: claim.expect(),
        };
        let _ = self.sender.try_send(write);
    }

    /// Queues the deletion of a claim that may exist and whose call was never
    /// sent. It is dropped if the queue is full.
    pub fn withdraw_nonce(&self, key: ObjectKey, nonce: u64) {
        let write = ClaimWrite::WithdrawNonce {
            key,
            nonce,
            checks_left: MAX_NONCE_CHECKS,
        };
        let _ = self.sender.try_send(write);
    }

    /// Queues a write again that failed. It is dropped if the queue is full.
    pub fn requeue(&self, write: ClaimWrite) {
        let _ = self.sender.try_send(write);
    }

    /// Waits up to `wait` for the next write; `None` if there is none.
    pub fn next(&self, wait: Duration) -> Option<ClaimWrite> {
        self.receiver.recv_timeout(wait).ok()
    }

    /// Returns the number of queued writes.
    pub fn pending(&self) -> usize {
        self.receiver.len()
    }

    /// Records the epoch object that the platform returned.
    pub fn observe_epoch(&self, version: u64, body: EpochBody, now_ms: u64) {
        lock(&self.epoch).observe(version, body, now_ms);
    }

    /// Returns the current epoch, or `None` if it is unknown.
    pub fn epoch(&self, now_ms: u64) -> Option<u64> {
        lock(&self.epoch).current_epoch(now_ms)
    }

    /// Returns a copy of the tracker of epochs.
    pub fn epoch_tracker(&self) -> EpochTracker {
        lock(&self.epoch).clone()
    }
}
