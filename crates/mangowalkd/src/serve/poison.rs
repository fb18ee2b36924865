use {
    super::{ChatRequest, Router, ServiceRequest, attempt::Target},
    crate::controller::report_crashes,
    log::warn,
    mangowalk_core::{
        attempt::{AttemptEnd, EndedAttempt},
        claim::digest_of_parts,
        edge::{Clock, Edges, Engines, SendError},
        poison::MAX_CRASHES,
        refusal::{Outcome, Refusal},
    },
    std::collections::HashSet,
};

/// Hexadecimal digits of a digest that form the identity of a request or a
/// crash.
const IDENTITY_HEX_DIGITS: usize = 16;

/// Returns the identity of a chat request. Retries of it have the same one.
pub(super) fn chat_identity(request: &ChatRequest) -> u64 {
    identity(&[
        request.team.as_bytes(),
        request.model.as_bytes(),
        request.prompt.as_bytes(),
        &request.max_tokens.to_le_bytes(),
    ])
}

/// Returns the identity of a service call. Retries of it have the same one.
pub(super) fn call_identity(request: &ServiceRequest) -> u64 {
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
        .get(..IDENTITY_HEX_DIGITS)
        .and_then(|digits| u64::from_str_radix(digits, 16).ok())
        .unwrap_or_default()
}

impl<E: Edges> Router<E> {
    /// Refuses a request to which `MAX_CRASHES` crashes of upstreams are
    /// attributed, by this instance or by others.
    pub(super) fn refuse_poisonous(&self, request: u64, outcome: Outcome) -> Result<(), Refusal> {
        let now_ms = self.edges.clock().now_ms();
        let crashes = self.shared.poison.crashes(request, now_ms);
        if crashes < MAX_CRASHES {
            return Ok(());
        }
        Err(Refusal::Poisonous { crashes, outcome })
    }

    /// Clears the crashes of a request that completed. Records a crash of the
    /// engine if the attempt's connection was lost or its answer could not be
    /// parsed, unless the engine still runs.
    pub(super) fn record_run(&self, request: &ChatRequest, target: &Target, ended: &EndedAttempt) {
        match ended.end() {
            AttemptEnd::Complete => self.shared.poison.completed(chat_identity(request)),
            AttemptEnd::Send(SendError::Lost | SendError::Unreadable) => {
                self.record_engine_crash(target)
            }
            _ => {}
        }
    }

    /// Attributes the crash of an engine to the requests on it, unless the
    /// engine still runs. The crash is reported to peers before any of the
    /// requests is retried.
    fn record_engine_crash(&self, target: &Target) {
        let engine = &target.engine;
        if self.is_still_running(target) {
            return;
        }
        let crash = identity(&[engine.name.as_bytes(), &self.crash_discriminator(target)]);
        self.record_crash_of(&engine.name, crash);
    }

    /// Attributes a closed connection to the calls on the service's instance.
    /// Services report no incarnation, so each instance counts as crashed at
    /// most once within the retention time of crashes.
    pub(super) fn record_lost_call(&self, service: &str) {
        self.record_crash_of(service, identity(&[b"service", service.as_bytes()]));
    }

    /// Attributes a crash to the requests on an upstream and reports it to
    /// peers, unless the crash is already recorded.
    fn record_crash_of(&self, upstream: &str, crash: u64) {
        let now_ms = self.edges.clock().now_ms();
        if self.shared.poison.record_crash(upstream, crash, now_ms) {
            warn!(
                "poison: {upstream} crashed; the crash is attributed to the most suspect of its requests."
            );
            report_crashes(&*self.edges, &self.shared);
        }
    }

    /// Returns the upstreams that a suspect request must avoid because they run
    /// another suspect. Empty if the request is not a suspect.
    pub(super) fn upstreams_with_other_suspects(&self, request: &ChatRequest) -> HashSet<String> {
        let identity = chat_identity(request);
        let now_ms = self.edges.clock().now_ms();
        let poison = &self.shared.poison;
        if poison.crashes(identity, now_ms) == 0 {
            return HashSet::new();
        }
        poison
            .upstreams_with_suspects(identity, now_ms)
            .into_iter()
            .collect()
    }

    /// Returns whether an engine whose stream was interrupted is still the same
    /// process. Only the connection was lost then, and no crash is recorded.
    fn is_still_running(&self, target: &Target) -> bool {
        let state = self.edges.engines().state(target.engine.address);
        let incarnation = state.map_or(0, |state| state.incarnation);
        incarnation != 0 && incarnation == target.incarnation
    }

    /// Returns a number that distinguishes the crashes of one engine: its
    /// incarnation. An engine that reports none counts as crashed at most once
    /// per second.
    fn crash_discriminator(&self, target: &Target) -> [u8; 8] {
        const MS_PER_S: u64 = 1_000;
        let number = match target.incarnation {
            0 => self.shared.identity.incarnation ^ (self.edges.clock().now_ms() / MS_PER_S),
            incarnation => incarnation,
        };
        number.to_le_bytes()
    }
}
