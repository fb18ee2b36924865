use {
    super::{Router, ServiceRequest, claim::ClaimResult, poison::call_identity},
    mangowalk_core::{
        claim::{Claim, ClaimTooOld, Claimed, DuplicateResponse},
        config::ServiceRecord,
        edge::{Clock, Edges, SendError, ServiceCall, ServiceReply, Services},
        refusal::{Outcome, Refusal},
    },
};

/// When a caller should retry if the service can't be reached.
const UNREACHABLE_RETRY_MS: u64 = 1_000;

impl<E: Edges> Router<E> {
    /// Serves one call of a plain service. One that may be repeated ends once its
    /// caller has left; the answer to another one is kept for its duplicates.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller, with the known outcome of the call.
    pub fn call_service(
        &self,
        request: &ServiceRequest,
        has_left: &dyn Fn() -> bool,
    ) -> Result<ServiceReply, Refusal> {
        let view = self.shared.config.view();
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
        let is_repeatable = first.repeatable && !request.marked_not_repeatable;
        self.check_time_to_exit(is_repeatable)?;
        self.refuse_poisonous(call_identity(request), Outcome::NotRun)?;
        let tokens = request.tokens();
        let reservation = self.reserve(&request.team, tokens)?;
        let result = if is_repeatable {
            self.call_repeatable(request, &instances, has_left)
        } else {
            self.call_once(request, &instances)
        };
        let ran = match &result {
            Ok(_) => true,
            Err(refusal) => refusal.outcome() != Outcome::NotRun,
        };
        self.settle(&reservation, if ran { tokens } else { 0 });
        result
    }

    /// Sends a repeatable call to each instance of the service in turn until
    /// one responds.
    fn call_repeatable(
        &self,
        request: &ServiceRequest,
        instances: &[&ServiceRecord],
        has_left: &dyn Fn() -> bool,
    ) -> Result<ServiceReply, Refusal> {
        let mut may_have_run = false;
        for service in instances {
            match self.send(request, service, &|| !has_left()) {
                Ok(reply) => return Ok(reply),
                Err(error) => may_have_run |= !means_not_run(error),
            }
            if has_left() {
                break;
            }
            if may_have_run {
                self.refuse_poisonous(call_identity(request), Outcome::Unknown)?;
            }
        }
        Err(if may_have_run {
            outcome_unknown()
        } else {
            service_unreachable()
        })
    }

    /// Sends a call that may run at most once, under a claim.
    fn call_once(
        &self,
        request: &ServiceRequest,
        instances: &[&ServiceRecord],
    ) -> Result<ServiceReply, Refusal> {
        match self.claim(request) {
            ClaimResult::Created(claim) => self.send_claimed(request, instances, claim),
            ClaimResult::NotCreated(DuplicateResponse::Replay(reply)) => Ok(reply.into_reply()),
            ClaimResult::NotCreated(DuplicateResponse::Refuse(refusal)) => Err(refusal),
        }
    }

    /// Sends a claimed call to the instances of the service in turn. The next
    /// one is tried only if it is certain that the call did not run.
    fn send_claimed(
        &self,
        request: &ServiceRequest,
        instances: &[&ServiceRecord],
        mut claim: Claim<Claimed>,
    ) -> Result<ServiceReply, Refusal> {
        let claims = &self.shared.claims;
        for service in instances {
            let sent = match claim.send(self.edges.clock().now_ms()) {
                Ok(sent) => sent,
                Err(ClaimTooOld(unsent)) => {
                    claims.withdraw(&unsent);
                    return Err(service_unreachable());
                }
            };
            match self.send(request, service, &|| true) {
                Ok(reply) => {
                    claims.settle(sent.ran(&reply));
                    return Ok(reply);
                }
                Err(error) if means_not_run(error) => claim = sent.not_sent(),
                Err(_) => {
                    claims.settle(sent.reply_lost());
                    return Err(outcome_unknown());
                }
            }
        }
        claims.withdraw(&claim);
        Err(service_unreachable())
    }

    fn send(
        &self,
        request: &ServiceRequest,
        service: &ServiceRecord,
        is_wanted: &dyn Fn() -> bool,
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
        let identity = call_identity(request);
        let _running = self.shared.poison.start(&service.name, identity);
        let timeout_ms = self.settings.request_timeout_ms;
        let services = self.edges.services();
        let result = services.call(service.address, &call, timeout_ms, is_wanted);
        match &result {
            Ok(_) => self.shared.poison.completed(identity),
            Err(SendError::Lost) => self.record_lost_call(&service.name),
            Err(_) => {}
        }
        result
    }
}

/// Returns whether an error means that the call did not run.
fn means_not_run(error: SendError) -> bool {
    matches!(error, SendError::NotConnected | SendError::Refused { .. })
}

fn service_unreachable() -> Refusal {
    Refusal::Unavailable {
        reason: "The service can't be reached",
        retry_ms: UNREACHABLE_RETRY_MS,
    }
}

fn outcome_unknown() -> Refusal {
    Refusal::Lost {
        remedy: "ask the service whether it ran before sending it with a new key",
        outcome: Outcome::Unknown,
    }
}
