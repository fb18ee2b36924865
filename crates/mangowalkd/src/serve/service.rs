use {
    super::{Router, ServiceRequest},
    mangowalk_core::{
        config::ServiceRecord,
        edge::{Edges, SendError, ServiceCall, ServiceReply, Services},
        placement::TOKEN_BYTES,
        platform::{Expect, ObjectKey, own_kind},
        refusal::{Outcome, Refusal},
    },
};

use mangowalk_core::edge::{Platform, PlatformError};

/// When a caller should ask again for a claimed request.
const CLAIMED_RETRY_MS: u64 = 1_000;

impl<E: Edges> Router<E> {
    /// Serves one call of a plain service.
    ///
    /// # Errors
    ///
    /// Returns what the caller is told, and what is known of the outcome.
    pub fn call_service(&self, request: &ServiceRequest) -> Result<ServiceReply, Refusal> {
        let view = self.board.config.view();
        let instances: Vec<&ServiceRecord> = view
            .services
            .values()
            .filter(|s| s.service == request.service && !s.departing)
            .collect();
        let Some(first) = instances.first() else {
            return Err(Refusal::NotFound {
                what: "Service",
                name: request.service.clone(),
            });
        };
        let _reservation = self.reserve(
            &request.team,
            (request.body.len().div_ceil(TOKEN_BYTES) as u64).max(1),
        )?;
        let repeatable = first.repeatable && !request.marked_not_repeatable;
        if !repeatable {
            self.claim(request)?;
        }
        let mut last = SendError::NotConnected;
        for service in &instances {
            match self.call_once(request, service) {
                Ok(reply) => return Ok(reply),
                Err(error) if error == SendError::NotConnected || repeatable => last = error,
                Err(error) => return Err(lost(error)),
            }
        }
        Err(match last {
            SendError::NotConnected => Refusal::Unavailable {
                reason: "The service can't be reached",
                retry_ms: CLAIMED_RETRY_MS,
            },
            error => lost(error),
        })
    }

    fn call_once(
        &self,
        request: &ServiceRequest,
        service: &ServiceRecord,
    ) -> Result<ServiceReply, SendError> {
        let call = ServiceCall {
            path: &request.path,
            method: &request.method,
            content_type: &request.content_type,
            team: &request.team,
            request_id: &request.request_id,
            idempotency_key: request.idempotency_key.as_deref(),
            body: &request.body,
        };
        self.edges
            .services()
            .call(service.address, &call, self.settings.request_timeout_ms)
    }

    /// Claims a request that may run at most once, before it is sent.
    ///
    /// Without the claim a caller that sends again through another instance,
    /// after this one died, would have its deposit taken twice. The platform
    /// creates a name once, so one claimant wins.
    fn claim(&self, request: &ServiceRequest) -> Result<(), Refusal> {
        let Some(key) = &request.idempotency_key else {
            return Err(Refusal::Malformed {
                detail: "This call may run only once; send an Idempotency-Key.".to_owned(),
            });
        };
        let name = mangowalk_core::record::digest_of(&format!("{}/{key}", request.team));
        let body = serde_json::json!({
            "schema": 1,
            "holder": self.board.identity.caller_address,
        });
        let key = ObjectKey::new(own_kind::CLAIM, &name);
        match self.edges.platform().put(&key, Expect::Absent, &body) {
            Ok(_) => Ok(()),
            Err(PlatformError::Conflict { .. }) => Err(Refusal::Claimed {
                detail: "A call with this Idempotency-Key ran or runs; what became of it is not known here.",
                outcome: Outcome::Unknown,
                retry_ms: CLAIMED_RETRY_MS,
            }),
            Err(_) => Err(Refusal::Unavailable {
                reason: "The platform can't record that this call runs once",
                retry_ms: CLAIMED_RETRY_MS,
            }),
        }
    }
}

fn lost(error: SendError) -> Refusal {
    match error {
        SendError::Refused { .. } => Refusal::Unavailable {
            reason: "The service refused the call before it ran",
            retry_ms: CLAIMED_RETRY_MS,
        },
        _ => Refusal::Lost {
            remedy: "ask the service whether it ran before sending it with a new key",
            outcome: Outcome::Unknown,
        },
    }
}
