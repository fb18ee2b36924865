use {
    super::{Router, ServiceRequest},
    mangowalk_core::{
        claim::{
            CLAIMED_RETRY_MS, Claim, ClaimBody, ClaimState, Claimed, DuplicateResponse,
            HolderLiveness, Unclaimed, digest_of_parts, duplicate_response,
        },
        edge::{Clock, Edges, Platform, PlatformError},
        platform::{Object, Precondition},
        refusal::{Outcome, Refusal},
    },
};

/// Attempts to create a claim whose replies are lost, before it is given up.
const MAX_CLAIM_WRITES: u32 = 2;

/// Result of an attempt to create a claim.
pub(super) enum ClaimResult {
    /// The claim exists and the request may be sent.
    Created(Claim<Claimed>),
    /// The request may not be sent; the caller gets this response.
    NotCreated(DuplicateResponse),
}

impl<E: Edges> Router<E> {
    /// Claims a request that may run at most once, before it is sent.
    ///
    /// Without the claim, a call that its caller retries through another
    /// instance after this one died would run twice: a deposit would be taken
    /// twice.
    pub(super) fn claim(&self, request: &ServiceRequest) -> ClaimResult {
        let Some(key) = &request.idempotency_key else {
            return ClaimResult::NotCreated(DuplicateResponse::Refuse(Refusal::Malformed {
                detail: "This call may run only once; send an Idempotency-Key.".to_owned(),
            }));
        };
        let name = digest_of_parts(&[request.team.as_bytes(), key.as_bytes()]);
        let claim = Claim::new(name, self.claim_body(request));
        self.create(claim)
    }

    fn claim_body(&self, request: &ServiceRequest) -> ClaimBody {
        let identity = &self.shared.identity;
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
            epoch: self.shared.claims.epoch(self.edges.clock().now_ms()),
            state: ClaimState::Claimed,
        }
    }

    /// Creates the claim's object on the platform. If the reply to the write is
    /// lost, the object is read back, and written again if it does not exist:
    /// whichever write takes effect, the object holds this claim.
    fn create(&self, claim: Claim<Unclaimed>) -> ClaimResult {
        let begun_ms = self.edges.clock().now_ms();
        let key = claim.key();
        let body = serde_json::to_value(claim.body()).unwrap_or_default();
        for _ in 0..MAX_CLAIM_WRITES {
            match self.edges.platform().put(&key, Precondition::Absent, &body) {
                Ok(version) => return ClaimResult::Created(claim.created(version, begun_ms)),
                Err(PlatformError::Conflict { .. } | PlatformError::Lost) => {}
                Err(PlatformError::Unreached | PlatformError::Refused { .. }) => {
                    return ClaimResult::NotCreated(not_recorded());
                }
            }
            match self.edges.platform().get(&key) {
                Ok(Some(object)) => return self.resolve_existing(claim, begun_ms, &object),
                Ok(None) => {}
                Err(_) => break,
            }
        }
        // The object may exist or still be created. The call was not sent, so
        // the claim is withdrawn once the platform responds.
        self.shared.claims.withdraw_nonce(key, claim.body().nonce);
        ClaimResult::NotCreated(not_recorded())
    }

    fn resolve_existing(
        &self,
        claim: Claim<Unclaimed>,
        begun_ms: u64,
        object: &Object,
    ) -> ClaimResult {
        let Ok(existing) = serde_json::from_value::<ClaimBody>(object.body.clone()) else {
            return ClaimResult::NotCreated(DuplicateResponse::Refuse(Refusal::Claimed {
                detail: "A call with this Idempotency-Key was claimed by a newer version of the router; send it again.",
                outcome: Outcome::Unknown,
                retry_ms: CLAIMED_RETRY_MS,
            }));
        };
        if existing.nonce == claim.body().nonce {
            return ClaimResult::Created(claim.created(object.version, begun_ms));
        }
        let holder = self.holder_liveness(&existing);
        ClaimResult::NotCreated(duplicate_response(&existing, &claim.body().request, holder))
    }

    fn holder_liveness(&self, claim: &ClaimBody) -> HolderLiveness {
        let identity = &self.shared.identity;
        if claim.incarnation == identity.incarnation {
            return HolderLiveness::Alive;
        }
        let is_reachable = self.shared.peers.reachable().iter().any(|peer| {
            peer.view.caller_address == claim.holder && peer.view.incarnation == claim.incarnation
        });
        if is_reachable {
            HolderLiveness::Alive
        } else {
            HolderLiveness::Silent
        }
    }
}

fn not_recorded() -> DuplicateResponse {
    DuplicateResponse::Refuse(Refusal::Unavailable {
        reason: "The platform can't record that this call runs once, so it was not sent",
        retry_ms: CLAIMED_RETRY_MS,
    })
}
