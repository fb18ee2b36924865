use {
    super::{ClaimBody, ClaimState, StoredReply},
    crate::{
        edge::ServiceReply,
        platform::{Expect, ObjectKey, own_kind},
    },
};

/// Longest time between making a claim and sending the request. A process
/// paused for longer must not send: its claim may have been deleted.
const LONGEST_UNSENT_MS: u64 = 3_600_000;

/// A claim in one phase of its life.
///
/// The phases are types, so that a request can't be sent without a claim, a
/// sent one can't be withdrawn, and none is settled twice.
#[derive(Debug)]
#[must_use = "withdraw or settle the claim, or later callers learn nothing"]
pub struct Claim<S> {
    name: String,
    body: ClaimBody,
    state: S,
}

/// Not on the platform yet.
#[derive(Debug)]
pub struct Unclaimed;

/// On the platform; nothing was sent.
#[derive(Debug)]
pub struct Claimed {
    version: u64,
    begun_ms: u64,
}

/// Sent, or about to be.
#[derive(Debug)]
pub struct Sent {
    claimed: Claimed,
}

/// The outcome is known as far as it ever will be.
#[derive(Debug)]
pub struct Settled {
    version: u64,
}

/// A claim that is too old to be sent under.
#[derive(Debug)]
pub struct ClaimTooOld(
    /// The claim, to be withdrawn.
    pub Box<Claim<Claimed>>,
);

impl<S> Claim<S> {
    /// Returns the object's identity.
    pub fn key(&self) -> ObjectKey {
        ObjectKey::new(own_kind::CLAIM, &self.name)
    }

    /// Returns the object's body.
    pub fn body(&self) -> &ClaimBody {
        &self.body
    }
}

impl Claim<Unclaimed> {
    /// Returns a claim that is to be created.
    pub fn new(name: String, body: ClaimBody) -> Claim<Unclaimed> {
        Claim {
            name,
            body,
            state: Unclaimed,
        }
    }

    /// Notes that the platform holds the claim, at a version, by a write
    /// begun at `begun_ms`.
    pub fn created(self, version: u64, begun_ms: u64) -> Claim<Claimed> {
        Claim {
            name: self.name,
            body: self.body,
            state: Claimed { version, begun_ms },
        }
    }
}

impl Claim<Claimed> {
    /// Allows to send the request.
    ///
    /// # Errors
    ///
    /// Fails where the claim is so old that it may be gone.
    pub fn send(self, now_ms: u64) -> Result<Claim<Sent>, ClaimTooOld> {
        if now_ms.saturating_sub(self.state.begun_ms) > LONGEST_UNSENT_MS {
            return Err(ClaimTooOld(Box::new(self)));
        }
        Ok(Claim {
            name: self.name,
            body: self.body,
            state: Sent {
                claimed: self.state,
            },
        })
    }

    /// Returns the condition under which the claim is deleted.
    pub fn expect(&self) -> Expect {
        Expect::Version(self.state.version)
    }
}

impl Claim<Sent> {
    /// Notes that nothing left after all: the connection was refused.
    pub fn not_sent(self) -> Claim<Claimed> {
        Claim {
            name: self.name,
            body: self.body,
            state: self.state.claimed,
        }
    }

    /// Notes the answer.
    pub fn ran(self, reply: &ServiceReply) -> Claim<Settled> {
        let state = StoredReply::from_reply(reply).map_or(ClaimState::RanTooLong, ClaimState::Ran);
        self.settle(state)
    }

    /// Notes that the answer was lost.
    pub fn reply_lost(self) -> Claim<Settled> {
        self.settle(ClaimState::Unknown)
    }

    fn settle(mut self, state: ClaimState) -> Claim<Settled> {
        self.body.state = state;
        Claim {
            name: self.name,
            body: self.body,
            state: Settled {
                version: self.state.claimed.version,
            },
        }
    }
}

impl Claim<Settled> {
    /// Returns the condition under which the outcome is written.
    pub fn expect(&self) -> Expect {
        Expect::Version(self.state.version)
    }

    /// Keeps the outcome and drops the answer, if memory is short.
    pub fn drop_reply(&mut self) {
        if matches!(self.body.state, ClaimState::Ran(_)) {
            self.body.state = ClaimState::RanTooLong;
        }
    }
}
