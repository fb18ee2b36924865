use {
    super::{ClaimBody, ClaimState, StoredReply},
    crate::{
        edge::ServiceReply,
        platform::{ObjectKey, Precondition, system_kind},
    },
};

/// Maximum time between making a claim and sending the request, in milliseconds.
/// After a longer pause of the process, the request must not be sent, because
/// the claim may have been deleted.
const MAX_UNSENT_MS: u64 = 3_600_000;

/// Claim in one of its states.
///
/// The states are types, so that a request can't be sent without a claim, the
/// claim of a sent request can't be withdrawn, and no claim is settled twice.
#[derive(Debug)]
#[must_use = "withdraw or settle the claim, or retries get no outcome"]
pub struct Claim<S> {
    name: String,
    body: ClaimBody,
    state: S,
}

/// State of a claim that has not been created on the platform.
#[derive(Debug)]
pub struct Unclaimed;

/// State of a claim that exists on the platform, with nothing sent.
#[derive(Debug)]
pub struct Claimed {
    version: u64,
    started_ms: u64,
}

/// State of a claim whose request was sent or is about to be sent.
#[derive(Debug)]
pub struct Sent {
    claimed: Claimed,
}

/// State of a claim whose outcome is final.
#[derive(Debug)]
pub struct Settled {
    version: u64,
}

/// Error for a claim that is too old for its request to be sent.
#[derive(Debug)]
pub struct ClaimTooOld(
    /// The claim, which the caller withdraws.
    pub Box<Claim<Claimed>>,
);

impl<S> Claim<S> {
    /// Returns the key of the claim object on the platform.
    pub fn key(&self) -> ObjectKey {
        ObjectKey::new(system_kind::CLAIM, &self.name)
    }

    /// Returns the body of the claim object.
    pub fn body(&self) -> &ClaimBody {
        &self.body
    }
}

impl Claim<Unclaimed> {
    /// Returns a claim that the caller has yet to create on the platform.
    pub fn new(name: String, body: ClaimBody) -> Claim<Unclaimed> {
        Claim {
            name,
            body,
            state: Unclaimed,
        }
    }

    /// Marks the claim as created on the platform at `version`, by a write that
    /// started at `started_ms`.
    pub fn created(self, version: u64, started_ms: u64) -> Claim<Claimed> {
        Claim {
            name: self.name,
            body: self.body,
            state: Claimed {
                version,
                started_ms,
            },
        }
    }
}

impl Claim<Claimed> {
    /// Marks the request as sent; must be called before sending it.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimTooOld`] if the claim is so old that it may have been
    /// deleted.
    pub fn send(self, now_ms: u64) -> Result<Claim<Sent>, ClaimTooOld> {
        if now_ms.saturating_sub(self.state.started_ms) > MAX_UNSENT_MS {
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

    /// Returns the condition for deleting the claim.
    pub fn expect(&self) -> Precondition {
        Precondition::Version(self.state.version)
    }
}

impl Claim<Sent> {
    /// Returns to the unsent state, after the connection was refused.
    pub fn not_sent(self) -> Claim<Claimed> {
        Claim {
            name: self.name,
            body: self.body,
            state: self.state.claimed,
        }
    }

    /// Settles the claim with the service's answer.
    pub fn ran(self, reply: &ServiceReply) -> Claim<Settled> {
        let state = StoredReply::from_reply(reply).map_or(ClaimState::RanTooLong, ClaimState::Ran);
        self.settle(state)
    }

    /// Settles the claim with an unknown outcome, after the answer was lost.
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
    /// Returns the condition for writing the outcome.
    pub fn expect(&self) -> Precondition {
        Precondition::Version(self.state.version)
    }

    /// Keeps the outcome and drops the stored answer, for use when memory is
    /// short.
    pub fn drop_reply(&mut self) {
        if matches!(self.body.state, ClaimState::Ran(_)) {
            self.body.state = ClaimState::RanTooLong;
        }
    }
}
