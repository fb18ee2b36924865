use {
    super::{Router, ServiceRequest, claim::Claiming, poison::identity_of_call},
    mangowalk_core::{
        claim::{Claim, ClaimTooOld, Claimed, DuplicateResponse},
        config::ServiceRecord,
        edge::{Clock, Edges, SendError, ServiceCall, ServiceReply, Services},
        refusal::{Outcome, Refusal},
    },
};

/// When a caller should come back if the service can't be reached.
const UNREACHED_RETRY_MS: u64 = 1_000;

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
        self.refuse_poison(identity_of_call(request), Outcome::NotRun)?;
        let tokens = request.tokens();
        let reservation = self.reserve(&request.team, tokens)?;
        let result = if first.repeatable && !request.marked_not_repeatable {
            self.call_repeatable(request, &instances)
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

    /// Sends a call until one instance of the service answers.
    fn call_repeatable(
        &self,
        request: &ServiceRequest,
        instances: &[&ServiceRecord],
    ) -> Result<ServiceReply, Refusal> {
        let mut may_have_run = false;
        for service in instances {
            match self.send(request, service) {
                Ok(reply) => return Ok(reply),
                Err(error) => may_have_run |= !states_not_run(error),
            }
            if may_have_run {
                self.refuse_poison(identity_of_call(request), Outcome::Unknown)?;
            }
        }
        Err(if may_have_run { lost() } else { unreached() })
    }

    /// Sends a call that may run at most once, under a claim.
    fn call_once(
        &self,
        request: &ServiceRequest,
        instances: &[&ServiceRecord],
    ) -> Result<ServiceReply, Refusal> {
        match self.claim(request) {
            Claiming::Won(claim) => self.send_claimed(request, instances, claim),
            Claiming::Met(DuplicateResponse::Replay(reply)) => Ok(reply.into_reply()),
            Claiming::Met(DuplicateResponse::Refuse(refusal)) => Err(refusal),
        }
    }

    /// Goes on to the next instance only where it is sure that nothing left.
    fn send_claimed(
        &self,
        request: &ServiceRequest,
        instances: &[&ServiceRecord],
        mut claim: Claim<Claimed>,
    ) -> Result<ServiceReply, Refusal> {
        let claims = &self.board.claims;
        for service in instances {
            let sent = match claim.send(self.edges.clock().now_ms()) {
                Ok(sent) => sent,
                Err(ClaimTooOld(unsent)) => {
                    claims.withdraw(&unsent);
                    return Err(unreached());
                }
            };
            match self.send(request, service) {
                Ok(reply) => {
                    claims.settle(sent.ran(&reply));
                    return Ok(reply);
                }
                Err(error) if states_not_run(error) => claim = sent.not_sent(),
                Err(_) => {
                    claims.settle(sent.reply_lost());
                    return Err(lost());
                }
            }
        }
        claims.withdraw(&claim);
        Err(unreached())
    }

    fn send(
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
        let identity = identity_of_call(request);
        let _running = self.board.poison.start(&service.name, identity);
        let result =
            self.edges
                .services()
                .call(service.address, &call, self.settings.request_timeout_ms);
        match &result {
            Ok(_) => self.board.poison.completed(identity),
            Err(SendError::Lost) => self.note_lost_call(&service.name),
            Err(_) => {}
        }
        result
    }
}

/// Returns whether an error states that nothing ran.
fn states_not_run(error: SendError) -> bool {
    matches!(error, SendError::NotConnected | SendError::Refused { .. })
}

fn unreached() -> Refusal {
    Refusal::Unavailable {
        reason: "The service can't be reached",
        retry_ms: UNREACHED_RETRY_MS,
    }
}

fn lost() -> Refusal {
    Refusal::Lost {
        remedy: "ask the service whether it ran before sending it with a new key",
        outcome: Outcome::Unknown,
    }
}
