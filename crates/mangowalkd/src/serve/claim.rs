use {
    super::{Router, ServiceRequest},
    mangowalk_core::{
        claim::{
            CLAIMED_RETRY_MS, Claim, ClaimBody, ClaimState, Claimed, DuplicateResponse,
            HolderLiveness, Unclaimed, digest_of_parts, duplicate_response,
        },
        edge::{Clock, Edges, Platform, PlatformError},
        platform::{Expect, Object},
        refusal::{Outcome, Refusal},
    },
};

/// Writes of one claim whose replies may be lost before it is given up.
const MOST_WRITES: u32 = 2;

/// What became of an attempt to claim a request.
pub(super) enum Claiming {
    /// This request may be sent.
    Won(Claim<Claimed>),
    /// It may not; the caller gets this.
    Met(DuplicateResponse),
}

impl<E: Edges> Router<E> {
    /// Claims a request that may run at most once, before it is sent.
    ///
    /// Without the claim a caller that sends again through another instance,
    /// after this one died, would have its deposit taken twice.
    pub(super) fn claim(&self, request: &ServiceRequest) -> Claiming {
        let Some(key) = &request.idempotency_key else {
            return Claiming::Met(DuplicateResponse::Refuse(Refusal::Malformed {
                detail: "This call may run only once; send an Idempotency-Key.".to_owned(),
            }));
        };
        let name = digest_of_parts(&[request.team.as_bytes(), key.as_bytes()]);
        let claim = Claim::new(name, self.claim_body(request));
        self.create(claim)
    }

    fn claim_body(&self, request: &ServiceRequest) -> ClaimBody {
        let identity = &self.board.identity;
        ClaimBody {
            schema: 1,
            holder: identity.caller_address,
            incarnation: identity.incarnation,
            nonce: rand::random(),
            request: digest_of_parts(&[
                request.service.as_bytes(),
                request.method.as_bytes(),
                request.path.as_bytes(),
                request.content_type.as_bytes(),
                &request.body,
            ]),
            epoch: self.board.claims.epoch(self.edges.clock().now_ms()),
            state: ClaimState::Claimed,
        }
    }

    /// Creates the claim. A write whose reply was lost is read back, and
    /// written again where it is not there: whichever of both takes effect,
    /// it is this claim.
    fn create(&self, claim: Claim<Unclaimed>) -> Claiming {
        let begun_ms = self.edges.clock().now_ms();
        let key = claim.key();
        let body = serde_json::to_value(claim.body()).unwrap_or_default();
        for _ in 0..MOST_WRITES {
            match self.edges.platform().put(&key, Expect::Absent, &body) {
                Ok(version) => return Claiming::Won(claim.created(version, begun_ms)),
                Err(PlatformError::Conflict { .. } | PlatformError::Lost) => {}
                Err(PlatformError::Unreached | PlatformError::Refused { .. }) => {
                    return Claiming::Met(unrecorded());
                }
            }
            match self.edges.platform().get(&key) {
                Ok(Some(object)) => return self.meet(claim, begun_ms, &object),
                Ok(None) => {}
                Err(_) => break,
            }
        }
        // The claim may be there or still come. Nothing was sent under it, so
        // it is taken back once the platform answers.
        self.board.claims.withdraw_nonce(key, claim.body().nonce);
        Claiming::Met(unrecorded())
    }

    fn meet(&self, claim: Claim<Unclaimed>, begun_ms: u64, object: &Object) -> Claiming {
        let Ok(held) = serde_json::from_value::<ClaimBody>(object.body.clone()) else {
            return Claiming::Met(DuplicateResponse::Refuse(Refusal::Claimed {
                detail: "A call with this Idempotency-Key was claimed by a newer version of the router; send it again.",
                outcome: Outcome::Unknown,
                retry_ms: CLAIMED_RETRY_MS,
            }));
        };
        if held.nonce == claim.body().nonce {
            return Claiming::Won(claim.created(object.version, begun_ms));
        }
        let holder = self.holder_of(&held);
        Claiming::Met(duplicate_response(&held, &claim.body().request, holder))
    }

    fn holder_of(&self, claim: &ClaimBody) -> HolderLiveness {
        let identity = &self.board.identity;
        if claim.incarnation == identity.incarnation {
            return HolderLiveness::Alive;
        }
        let heard = self.board.peers.reachable().iter().any(|peer| {
            peer.view.caller_address == claim.holder && peer.view.incarnation == claim.incarnation
        });
        if heard {
            HolderLiveness::Alive
        } else {
            HolderLiveness::Silent
        }
    }
}

fn unrecorded() -> DuplicateResponse {
    DuplicateResponse::Refuse(Refusal::Unavailable {
        reason: "The platform can't record that this call runs once, so it was not sent",
        retry_ms: CLAIMED_RETRY_MS,
    })
}
