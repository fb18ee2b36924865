use {
    super::Refusal,
    crate::{
        clock::now_ms,
        instance::{Drain, Instance, hash},
        upstreams::Pool,
    },
    bytes::Bytes,
    http::{Method, Uri, request},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::Incoming,
    mangowalk_core::{
        pool::EngineRequirements,
        routing::{Route, RouteError, Tenant},
        weights::VersionBounds,
    },
    mangowalk_platform::RequestHead,
    std::{rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// Longest wait where a caller names none.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// Ranks of routes that are told apart within one rank of teams.
const ROUTE_RANKS: u8 = 2;

/// Rank that goes last in an engine's queue.
const LAST_RANK: u8 = 9;

/// A request that was read and may be passed on.
pub(super) struct CallerRequest {
    pub(super) instance: Rc<Instance>,
    pub(super) pool: Rc<Pool>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: http::HeaderMap,
    pub(super) head: RequestHead,
    pub(super) body: Bytes,
    pub(super) route: Rc<Route>,
    pub(super) tenant: Option<Rc<Tenant>>,
    pub(super) need: EngineRequirements,
    pub(super) arrived_ms: u64,
    /// When the caller leaves, or the operator's limit is reached.
    pub(super) deadline_ms: u64,
}

impl CallerRequest {
    /// Returns the time that is left.
    pub(super) fn left_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(now_ms())
    }

    /// Returns the request's id, for log lines.
    pub(super) fn id(&self) -> &str {
        &self.head.request_id
    }

    /// Returns what stays the same when a caller sends the request again: its
    /// path, team and content.
    pub(super) fn identity(&self) -> u64 {
        let team = self
            .tenant
            .as_ref()
            .map_or("", |tenant| tenant.name.as_str());
        let path = self.uri.path_and_query().map_or("", |path| path.as_str());
        let mut bytes = format!("{} {path} {team} ", self.method).into_bytes();
        bytes.extend_from_slice(&self.body);
        hash(&bytes)
    }

    /// Returns whether the request has crashed so many engines that it may
    /// not reach another.
    pub(super) fn is_poison(&self) -> bool {
        let crashes = self.instance.crashes.borrow();
        !crashes.is_empty() && crashes.is_poison(self.identity(), now_ms())
    }

    /// Returns what the request takes of its team's rate.
    pub(super) fn cost(&self) -> u64 {
        let usage = self.head.usage;
        let tokens = usage.map(|usage| usage.prompt_tokens + usage.answer_tokens);
        self.tenant.as_ref().map_or(0, |tenant| tenant.cost(tokens))
    }

    /// Returns what weights the request should meet.
    pub(super) fn wanted(&self, now_ms: u64) -> VersionBounds {
        let newest = self.instance.newest.borrow();
        let named = self.need.model.as_ref().and_then(|model| newest.get(model));
        named.map_or(VersionBounds::default(), |named| {
            named.version_bounds(&self.instance.settings.weights, now_ms)
        })
    }

    /// Returns how long the request may wait to begin on weights that are
    /// being replaced.
    pub(super) fn may_wait_ms(&self, version: u64, now_ms: u64) -> Option<u64> {
        let newest = self.instance.newest.borrow();
        let named = newest.get(self.need.model.as_ref()?)?;
        let bound_ms = named.start_deadline_ms(version, &self.instance.settings.weights)?;
        Some(bound_ms.saturating_sub(now_ms))
    }

    /// Returns the rank in an engine's queue; 0 goes first. A team's rank goes
    /// before the route's, which decides among requests of one team's rank.
    pub(super) fn urgency(&self) -> u8 {
        let route = self.route.priority;
        let team = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        let rank = team.map_or(route, |team| {
            team.saturating_mul(ROUTE_RANKS) + route.min(ROUTE_RANKS - 1)
        });
        rank.min(LAST_RANK)
    }

    /// Returns whether the request may go to another engine after so many may
    /// have run it.
    pub(super) fn may_run_again(&self, run: u32) -> bool {
        self.route.repeat.may_run_again() && run < self.route.max_attempts
    }

    /// Returns whether the route is of the first rank.
    pub(super) fn is_first(&self) -> bool {
        self.route.priority == 0
    }
}

/// Reads head and body of a request, and finds its route and team.
///
/// # Errors
///
/// Fails where the request may not be passed on.
pub(super) async fn read(
    instance: Rc<Instance>,
    pool: Rc<Pool>,
    parts: request::Parts,
    body: Incoming,
) -> Result<CallerRequest, (Refusal, Option<u64>)> {
    let arrived_ms = now_ms();
    if !instance.is_informed() {
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
    let (route, tenant) = admitted.map_err(|denied| match denied {
        RouteError::NoRoute => (Refusal::NoRoute, None),
        RouteError::BadKey => (Refusal::BadKey, None),
    })?;
    let asked_ms = head.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let deadline_ms = arrived_ms + asked_ms.min(route.timeout_ms);
    let limits = routes.configuration().limits;
    let left = Duration::from_millis(deadline_ms - arrived_ms);
    let body = timeout(left, Limited::new(body, limits.max_body_bytes).collect())
        .await
        .map_err(|_| (Refusal::TooSlow, None))?
        .map_err(|error| {
            let too_long = error.downcast_ref::<LengthLimitError>().is_some();
            let refusal = if too_long {
                Refusal::TooLong
            } else {
                Refusal::BadBody
            };
            (refusal, None)
        })?
        .to_bytes();
    let need = need(&instance, &head, &route, tenant.as_deref());
    Ok(CallerRequest {
        instance,
        pool,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        head,
        body,
        route,
        tenant,
        need,
        arrived_ms,
        deadline_ms,
    })
}

/// Time after which an instance that has just started usually knows its
/// configuration: two calls to the store.
const STARTING_RETRY_MS: u64 = 300;

/// Time after which a caller of a stopping instance may come back: at once, as
/// it goes to another one.
const STOPPING_RETRY_MS: u64 = 20;

fn need(
    instance: &Instance,
    head: &RequestHead,
    route: &Route,
    tenant: Option<&Tenant>,
) -> EngineRequirements {
    let service = route.service(rand::random()).to_owned();
    let model = head.usage.and_then(|_| head.model.clone());
    let usage = head.usage;
    if let Some(usage) = usage {
        let mut usual = instance.usual_prompt.get();
        usual.record(usage.prompt_tokens);
        instance.usual_prompt.set(usual);
    }
    EngineRequirements {
        service,
        model,
        memory_tokens: usage.map_or(0, |usage| usage.prompt_tokens + usage.answer_tokens),
        prompt_tokens: usage.map_or(0, |usage| usage.prompt_tokens),
        parts: head.parts.clone(),
        isolation_salt: tenant.filter(|tenant| tenant.isolated).map_or(0, wall),
        domain: instance.machine().domain.clone(),
    }
}

fn wall(tenant: &Tenant) -> u64 {
    hash(tenant.name.as_bytes())
}
