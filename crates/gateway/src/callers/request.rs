use {
    super::{Refusal, progress::Progress},
    crate::{
        bounded::{HeldKind, Hold, MeteredBody},
        clock::now_ms,
        instance::{Drain, Instance, hash},
        upstreams::ConnectionPool,
    },
    bytes::{Bytes, BytesMut},
    http::{Method, Uri, request},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    mangowalk_core::{
        origin::{EngineBuild, StreamKey},
        pool::EngineRequirements,
        routing::{Route, Tenant, urgency},
        weights::VersionBounds,
    },
    mangowalk_platform::RequestHead,
    std::{rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// Deadline of a request whose caller sends none.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// Who sent a request to this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller.
    Caller,
    /// A peer that reaches no engine and passes a caller's request on. It has charged
    /// the team's rate, and retries the request itself.
    Peer,
}

/// A request that was read in full and matched to a route.
pub(super) struct CallerRequest {
    pub(super) origin: Origin,
    pub(super) instance: Rc<Instance>,
    pub(super) pool: Rc<ConnectionPool>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: http::HeaderMap,
    pub(super) head: RequestHead,
    pub(super) body: Bytes,
    /// The body, as long as the request is open.
    pub(super) _held: Hold,
    pub(super) route: Rc<Route>,
    /// Team of the caller's key. `None` if the route is anonymous or no teams are
    /// configured.
    pub(super) tenant: Option<Rc<Tenant>>,
    pub(super) requirements: EngineRequirements,
    /// Build at which the request has to run, as it takes up a stream that began there.
    pub(super) build: Option<EngineBuild>,
    /// Where the request is.
    pub(super) progress: Rc<Progress>,
    pub(super) arrived_ms: u64,
    /// When the caller gives up or the route's timeout is reached, whichever is
    /// earlier.
    pub(super) deadline_ms: u64,
}

impl CallerRequest {
    /// Returns the time left until the deadline.
    pub(super) fn left_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(now_ms())
    }

    /// Returns the caller's ID of the request, for log lines and checks.
    pub(super) fn id(&self) -> &str {
        &self.head.request_id
    }

    /// Returns the name of the caller's team; empty if it has none.
    pub(super) fn team(&self) -> &str {
        let tenant = self.tenant.as_ref();
        tenant.map_or("", |tenant| tenant.name.as_str())
    }

    /// Returns the keys by which the caller may name the stream when it takes it up: that
    /// of the request that brought the first event, and of this one.
    pub(super) fn stream_keys(&self) -> impl Iterator<Item = StreamKey> {
        let named = self.head.resumes.as_deref();
        let ids = named.into_iter().chain([self.id()]);
        ids.map(|id| StreamKey::new(self.team(), id))
    }

    /// Returns whether the caller takes up a stream of which it has events already.
    pub(super) fn takes_up_stream(&self) -> bool {
        let has_events = self.head.last_event_id.is_some() || self.head.resumes.is_some();
        self.route.retry.is_stream() && has_events
    }

    /// Returns a hash that stays the same when a caller retries the request: of
    /// its method, path, team and body.
    pub(super) fn identity(&self) -> u64 {
        let team = self.team();
        let path = self.uri.path_and_query().map_or("", |path| path.as_str());
        let mut bytes = format!("{} {path} {team} ", self.method).into_bytes();
        bytes.extend_from_slice(&self.body);
        hash(&bytes)
    }

    /// Returns whether the request has crashed so many engines that it must not
    /// be sent to another.
    pub(super) fn is_poison(&self) -> bool {
        let crashes = self.instance.crashes.borrow();
        !crashes.is_empty() && crashes.is_poison(self.identity(), now_ms())
    }

    fn shared_parts(&self) -> Vec<u64> {
        self.requirements.shared_part_ids().collect()
    }

    /// Returns whether a part of the prompt crashes engines, so that the request must not be
    /// sent to any.
    pub(super) fn holds_rejected_part(&self) -> bool {
        self.instance.crash_parts.is_any_rejected()
            && self.instance.rejects_parts(&self.shared_parts(), now_ms())
    }

    /// Returns whether a part of the prompt was rejected while the request was on its way.
    pub(super) fn is_withdrawn(&self) -> bool {
        let parts = &self.instance.crash_parts;
        parts.is_any_rejected() && parts.withdraws(&self.shared_parts(), now_ms())
    }

    /// Returns once a part of the prompt is rejected.
    pub(super) async fn withdrawal(&self) {
        loop {
            let changed = self.instance.wake_ups.rejected_parts.notified();
            if self.is_withdrawn() {
                return;
            }
            changed.await;
        }
    }

    /// Waits while it is to be decided whether a part of the prompt crashes engines, for a
    /// short time at most.
    pub(super) async fn await_part_decision(&self) {
        let parts = self.shared_parts();
        let settings = &self.instance.settings.crash_parts;
        let known = &self.instance.crash_parts;
        let until_ms = now_ms() + settings.decision_wait_ms;
        while now_ms() < until_ms && known.is_suspect(&parts, settings, now_ms()) {
            let left = Duration::from_millis(until_ms.saturating_sub(now_ms()));
            // Times out if nothing is decided.
            let _ = timeout(left, self.instance.wake_ups.rejected_parts.notified()).await;
        }
    }

    /// Records that an answer was written to its end, which clears the parts of its prompt.
    pub(super) fn record_completed_parts(&self) {
        let parts = self.shared_parts();
        let service = &self.requirements.service;
        self.instance
            .record_completed_parts(service, &parts, now_ms());
    }

    /// Returns what the request takes from its team's rate, in the unit of that
    /// rate.
    pub(super) fn cost(&self) -> u64 {
        let usage = self.head.usage;
        let tokens = usage.map(|usage| usage.prompt_tokens + usage.max_answer_tokens);
        self.tenant.as_ref().map_or(0, |tenant| tenant.cost(tokens))
    }

    /// Returns the bounds on the weights version that the request may run on.
    pub(super) fn version_bounds(&self, now_ms: u64) -> VersionBounds {
        let histories = self.instance.weights_histories.borrow();
        let history = self
            .requirements
            .model
            .as_ref()
            .and_then(|model| histories.get(model));
        history.map_or(VersionBounds::default(), |history| {
            history.version_bounds(&self.instance.settings.weights, now_ms)
        })
    }

    /// Returns how long the request may wait to start on weights that are being
    /// replaced, or `None` if there is no such limit.
    pub(super) fn max_weights_wait_ms(&self, version: u64, now_ms: u64) -> Option<u64> {
        let histories = self.instance.weights_histories.borrow();
        let history = histories.get(self.requirements.model.as_ref()?)?;
        let bound_ms = history.start_deadline_ms(version, &self.instance.settings.weights)?;
        Some(bound_ms.saturating_sub(now_ms))
    }

    /// Returns the rank in an engine's queue; 0 goes first. The team's priority
    /// comes first, and the route's decides between requests of equal team
    /// priority.
    pub(super) fn urgency(&self) -> u8 {
        let team = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        urgency(team, self.route.priority)
    }

    /// Returns whether the request may be sent to another engine after
    /// `possible_run_count` engines may have run it.
    pub(super) fn may_run_again(&self, possible_run_count: u32) -> bool {
        self.route.retry.may_run_again() && possible_run_count < self.max_attempts()
    }

    /// Returns the maximum number of engines that may run the request. For a peer's
    /// request it is one, as the peer counts the attempts.
    pub(super) fn max_attempts(&self) -> u32 {
        match self.origin {
            Origin::Caller => self.route.max_attempts,
            Origin::Peer => 1,
        }
    }

    /// Returns whether this instance reaches no engine that may run the request.
    pub(super) fn has_no_path(&self) -> bool {
        let paths = self.instance.service_paths.borrow();
        paths.is_lost(&self.requirements.service)
    }

    /// Returns whether the route has the first priority.
    pub(super) fn has_first_priority(&self) -> bool {
        self.route.priority == 0
    }
}

/// Reads head and body of a request, and finds its route and team.
///
/// # Errors
///
/// Returns the refusal for the caller if the request can't be accepted, with the
/// time in milliseconds after which it should retry, if any.
pub(super) async fn read_request(
    instance: Rc<Instance>,
    pool: Rc<ConnectionPool>,
    parts: request::Parts,
    body: MeteredBody,
    origin: Origin,
) -> Result<CallerRequest, (Refusal, Option<u64>)> {
    let arrived_ms = now_ms();
    if !instance.is_initialized() {
        return Err((Refusal::Starting, Some(STARTING_RETRY_MS)));
    }
    if *instance.drain.borrow() >= Drain::Closing {
        return Err((Refusal::Stopping, Some(STOPPING_RETRY_MS)));
    }
    let head = RequestHead::decode(&parts.headers).map_err(|error| {
        log::warn!("event=request_malformed error=\"{error}\"");
        (Refusal::BadHead(error), None)
    })?;
    let routes = instance.routes.borrow().clone();
    let admitted = routes.admit(&head.host, parts.uri.path(), head.key.as_deref());
    let (route, tenant) = admitted.map_err(|error| (Refusal::from(error), None))?;
    let asked_ms = head.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let deadline_ms = arrived_ms + asked_ms.min(route.timeout_ms);
    if !instance.can_finish(&route, deadline_ms) {
        return Err((Refusal::Stopping, Some(STOPPING_RETRY_MS)));
    }
    let limits = routes.configuration().limits;
    let left = Duration::from_millis(deadline_ms - arrived_ms);
    let held = instance.held.hold(HeldKind::Requests);
    let body = read_body(&instance, body, limits.max_body_bytes, &held);
    let body = timeout(left, body)
        .await
        .map_err(|_| (Refusal::TooSlow, None))??;
    let requirements = requirements(&instance, &head, &route, tenant.as_deref());
    let progress = Rc::new(Progress::new(&instance, &head.request_id, arrived_ms));
    Ok(CallerRequest {
        origin,
        instance,
        pool,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        head,
        body,
        _held: held,
        route,
        tenant,
        requirements,
        build: None,
        progress,
        arrived_ms,
        deadline_ms,
    })
}

/// Reads the body of a request.
///
/// # Errors
///
/// Returns the refusal for the caller if the body is too long or breaks off, or the instance
/// holds too much.
async fn read_body(
    instance: &Instance,
    body: MeteredBody,
    max_bytes: usize,
    held: &Hold,
) -> Result<Bytes, (Refusal, Option<u64>)> {
    let mut body = Limited::new(body, max_bytes);
    let mut bytes = BytesMut::new();
    loop {
        if instance.holds_too_much() {
            return Err((Refusal::HoldsTooMuch, Some(HELD_RETRY_MS)));
        }
        let Some(frame) = body.frame().await else {
            return Ok(bytes.freeze());
        };
        let frame = frame.map_err(|error| {
            let too_long = error.downcast_ref::<LengthLimitError>().is_some();
            let refusal = if too_long {
                Refusal::TooLong
            } else {
                Refusal::BadBody
            };
            (refusal, None)
        })?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
            held.set(bytes.capacity());
        }
    }
}

/// Time after which a caller may retry if the instance holds too much. Connections of callers
/// that don't read are closed within twice that time.
const HELD_RETRY_MS: u64 = 1_000;

/// Time after which an instance that has just started usually has its
/// configuration: two calls to the store.
const STARTING_RETRY_MS: u64 = 300;

/// Time after which a caller of a stopping instance may retry. It is short, as
/// the caller connects to another instance.
pub(super) const STOPPING_RETRY_MS: u64 = 20;

/// Returns what the request requires of an engine, with a service drawn by the
/// route's weights. Records the prompt length of the request in the instance's
/// mean.
fn requirements(
    instance: &Instance,
    head: &RequestHead,
    route: &Route,
    tenant: Option<&Tenant>,
) -> EngineRequirements {
    let service = route.service(rand::random()).to_owned();
    let model = head.usage.and_then(|_| head.model.clone());
    let usage = head.usage;
    if let Some(usage) = usage {
        let mut mean_prompt = instance.mean_prompt_length.get();
        mean_prompt.record(usage.prompt_tokens);
        instance.mean_prompt_length.set(mean_prompt);
    }
    EngineRequirements {
        service,
        model,
        memory_tokens: usage.map_or(0, |usage| usage.prompt_tokens + usage.max_answer_tokens),
        prompt_tokens: usage.map_or(0, |usage| usage.prompt_tokens),
        parts: head.parts.clone(),
        isolation_salt: tenant
            .filter(|tenant| tenant.isolated)
            .map_or(0, isolation_salt),
        domain: instance.machine().domain.clone(),
    }
}

/// Returns the salt that separates an isolated team's parts from other teams'.
fn isolation_salt(tenant: &Tenant) -> u64 {
    hash(tenant.name.as_bytes())
}
