use {
    super::{ChatRequest, Router, ServiceRequest, attempt::Target},
    crate::controller::report_crashes,
    log::warn,
    mangowalk_core::{
        attempt::{End, EndedAttempt},
        claim::digest_of_parts,
        edge::{Clock, Edges, Engines, SendError},
        poison::MAX_CRASHES,
        refusal::{Outcome, Refusal},
    },
    std::collections::HashSet,
};

/// Digits of a digest that make a request's or a crash's identity.
const IDENTITY_DIGITS: usize = 16;

/// Returns the identity of a chat request, the same for each copy of it.
pub(super) fn identity_of(request: &ChatRequest) -> u64 {
    identity(&[
        request.team.as_bytes(),
        request.model.as_bytes(),
        request.prompt.as_bytes(),
        &request.max_tokens.to_le_bytes(),
    ])
}

/// Returns the identity of a call, the same for each copy of it.
pub(super) fn identity_of_call(request: &ServiceRequest) -> u64 {
    identity(&[
        request.team.as_bytes(),
        request.service.as_bytes(),
        request.method.as_bytes(),
        request.path.as_bytes(),
        &request.body,
    ])
}

fn identity(parts: &[&[u8]]) -> u64 {
    let digest = digest_of_parts(parts);
    digest
        .get(..IDENTITY_DIGITS)
        .and_then(|digits| u64::from_str_radix(digits, 16).ok())
        .unwrap_or_default()
}

impl<E: Edges> Router<E> {
    /// Refuses a request that crashed several upstreams, here or elsewhere.
    pub(super) fn refuse_poison(&self, request: u64, outcome: Outcome) -> Result<(), Refusal> {
        let now_ms = self.edges.clock().now_ms();
        let crashes = self.board.poison.crashes(request, now_ms);
        if crashes < MAX_CRASHES {
            return Ok(());
        }
        Err(Refusal::Poisonous { crashes, outcome })
    }

    /// Notes what the end of an attempt tells of its request.
    pub(super) fn note_run(&self, request: &ChatRequest, target: &Target, ended: &EndedAttempt) {
        match ended.end() {
            End::Complete => self.board.poison.completed(identity_of(request)),
            End::Send(SendError::Lost | SendError::Unreadable) => self.note_crash(target),
            _ => {}
        }
    }

    /// Charges the requests on an engine with its crash, and tells peers
    /// before any of them is sent again.
    fn note_crash(&self, target: &Target) {
        let engine = &target.engine;
        if self.still_runs(target) {
            return;
        }
        let crash = identity(&[engine.name.as_bytes(), &self.crash_number(target)]);
        self.note_crash_of(&engine.name, crash);
    }

    /// Charges the calls on a service's instance that closed a connection.
    /// Services state no incarnation, so each instance counts once in the time
    /// for which crashes count.
    pub(super) fn note_lost_call(&self, service: &str) {
        self.note_crash_of(service, identity(&[b"service", service.as_bytes()]));
    }

    /// Charges the requests on an upstream with a crash.
    fn note_crash_of(&self, upstream: &str, crash: u64) {
        let now_ms = self.edges.clock().now_ms();
        if self.board.poison.crashed(upstream, crash, now_ms) {
            warn!("poison: {upstream} crashed; the most suspect of its requests are charged.");
            report_crashes(&*self.edges, &self.board);
        }
    }

    /// Returns the engines that a suspect request is to be kept from: those
    /// that run another suspect. None, if the request is no suspect.
    pub(super) fn suspects_apart_from(&self, request: &ChatRequest) -> HashSet<String> {
        let identity = identity_of(request);
        let now_ms = self.edges.clock().now_ms();
        let poison = &self.board.poison;
        if poison.crashes(identity, now_ms) == 0 {
            return HashSet::new();
        }
        poison.with_suspects(identity, now_ms).into_iter().collect()
    }

    /// Returns whether an engine whose stream was cut is still the same
    /// process. Then only the connection was lost, and no one is to blame.
    fn still_runs(&self, target: &Target) -> bool {
        let state = self.edges.engines().state(target.engine.address);
        let incarnation = state.map_or(0, |state| state.incarnation);
        incarnation != 0 && incarnation == target.incarnation
    }

    /// Tells an engine's crash from its others. One that states no
    /// incarnation counts as crashed once in a second.
    fn crash_number(&self, target: &Target) -> [u8; 8] {
        const MS_PER_S: u64 = 1_000;
        let number = match target.incarnation {
            0 => self.board.identity.incarnation ^ (self.edges.clock().now_ms() / MS_PER_S),
            incarnation => incarnation,
        };
        number.to_le_bytes()
    }
}
