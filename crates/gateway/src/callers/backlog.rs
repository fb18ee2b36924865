use {
    super::{
        attempt::AttemptContext,
        request::{CallerRequest, Origin},
    },
    crate::instance::hash,
    mangowalk_core::{
        admission::{Backlog, BacklogBound, Competition},
        canary::SoftwareRole,
        pool::{KnownEngine, PrefillRate},
    },
    std::cell::Cell,
};

/// Decides which engines a request of a lower priority may use, so that they read the prompts of
/// the most urgent requests of their service in time.
pub(super) struct UrgentProtection<'a> {
    request: &'a CallerRequest,
    /// `None` if the request is not bounded.
    bound: Option<BacklogBound>,
    rate: PrefillRate,
    /// Whether some engine is not paused. The choice falls back to paused engines where the
    /// bound leaves no other, and an engine that loads weights rejects what it gets.
    passes_over_paused: bool,
    /// Whether only engines that have cached the shared part may take the request.
    waits_for_cache: bool,
    /// Requests that may use the same room.
    competition: Competition,
    /// Hash of the request's ID, by which it is drawn among them.
    identity: u64,
    retention_ms: u64,
    now_ms: u64,
    /// Shortest wait at the engines that did not admit the request; infinite if all did.
    shortest_wait_ms: Cell<f64>,
}

impl<'a> UrgentProtection<'a> {
    /// Returns the protection from a request that `open_engines` would take otherwise. Parts of
    /// prompts stay in the caches of engines for `retention_ms`.
    pub(super) fn new(
        request: &'a CallerRequest,
        context: &AttemptContext<'_>,
        open_engines: impl Iterator<Item = &'a KnownEngine> + Clone,
        retention_ms: u64,
        now_ms: u64,
    ) -> UrgentProtection<'a> {
        let bound = context.may_be_refused.then(|| bound(request)).flatten();
        if bound.is_some() && context.is_first && context.place.is_none() {
            request.instance.record_bounded_arrival(now_ms);
        }
        let mut protection = UrgentProtection {
            competition: request.instance.competition(now_ms),
            identity: hash(request.id().as_bytes()),
            request,
            bound,
            passes_over_paused: open_engines.clone().any(|engine| !engine.is_paused(now_ms)),
            waits_for_cache: false,
            rate: request.instance.prefill_rate.get(),
            retention_ms,
            now_ms,
            shortest_wait_ms: Cell::new(f64::INFINITY),
        };
        protection.waits_for_cache = bound.is_some() && protection.may_wait_for_cache(open_engines);
        protection
    }

    /// Returns whether the request has time to wait for an engine that has cached its shared
    /// part, and there is one. Where a KV cache store supplies the part, it need not wait.
    fn may_wait_for_cache(&self, mut open_engines: impl Iterator<Item = &'a KnownEngine>) -> bool {
        let request = self.request;
        let instance = &request.instance;
        let waited_ms = self.now_ms.saturating_sub(request.arrived_ms);
        let time_to_deadline_ms = request.deadline_ms.saturating_sub(request.arrived_ms);
        let settings = &instance.settings.backlog;
        let has_time = settings.waits_for_cache(waited_ms, time_to_deadline_ms);
        let shared = request.requirements.parts.iter().rev().nth(1);
        let has_store =
            shared.is_some_and(|part| instance.kv_stores.borrow().home(part.id).is_some());
        if request.origin == Origin::Peer || !has_time || has_store {
            return false;
        }
        let health = &instance.settings.choice.health;
        open_engines.any(|engine| {
            engine.software_role == SoftwareRole::InUse
                && self.has_cached(engine)
                && !engine.is_excluded(health, self.now_ms)
                && !engine.is_paused(self.now_ms)
        })
    }

    fn has_cached(&self, engine: &KnownEngine) -> bool {
        self.request
            .requirements
            .shared_part()
            .is_some_and(|part| engine.has_cached(part, self.retention_ms, self.now_ms))
    }

    /// Returns whether engines' backlogs are bounded for the request.
    pub(super) fn is_bounded(&self) -> bool {
        self.bound.is_some()
    }

    /// Returns whether an engine may take the request.
    pub(super) fn admits(&self, engine: &KnownEngine) -> bool {
        let Some(bound) = self.bound else {
            return true;
        };
        let backlog = backlog(engine, self.now_ms);
        let wait_ms = bound.wait_ms(backlog, self.own_tokens(engine), &self.rate);
        let is_passed_over = self.waits_for_cache && !self.has_cached(engine)
            || self.passes_over_paused && engine.is_paused(self.now_ms);
        if wait_ms <= 0.0 && !is_passed_over {
            let own_tokens = self.own_tokens(engine);
            let settings = &self.request.instance.settings.backlog;
            let free_slots = settings.free_slots(engine.load().requests, engine.entry.slots);
            let free_requests = bound.free_requests(backlog, own_tokens, &self.rate);
            let free_requests = free_requests.min(free_slots);
            let id = &engine.entry.incarnation.id;
            let competition = &self.competition;
            if free_slots >= 1.0
                && competition.admits(self.identity, id, free_requests, self.now_ms)
            {
                return true;
            }
        }
        let wait_ms = wait_ms.max(self.competition.interval_ms as f64);
        self.shortest_wait_ms
            .set(self.shortest_wait_ms.get().min(wait_ms));
        false
    }

    /// Returns whether the request may be sent to an engine however long its prompt takes there:
    /// the engine has no other prompt to read, or the bound holds, which is the stricter one.
    pub(super) fn replaces_max_wait(&self, engine: &KnownEngine) -> bool {
        let is_idle = engine.load().prefill_tokens == 0;
        self.bound.is_some() || is_idle && is_active(self.request)
    }

    /// Returns the time after which an engine may take the request, if none was free to take it
    /// only because of the bound; `None` if the bound kept it from no engine.
    pub(super) fn retry_ms(&self) -> Option<u64> {
        let settings = &self.request.instance.settings.admission;
        let wait_ms = self.shortest_wait_ms.get();
        wait_ms
            .is_finite()
            .then(|| (wait_ms as u64).clamp(settings.min_retry_ms, settings.max_retry_ms))
    }

    fn own_tokens(&self, engine: &KnownEngine) -> u64 {
        let requirements = &self.request.requirements;
        let read_tokens = if self.has_cached(engine) {
            requirements.shared_tokens()
        } else {
            0
        };
        requirements.prompt_tokens.saturating_sub(read_tokens)
    }
}

/// Returns what an engine has yet to read.
pub(super) fn backlog(engine: &KnownEngine, now_ms: u64) -> Backlog {
    Backlog {
        unread_tokens: u64::from(engine.load().prefill_tokens),
        slowdown: engine.slowdown(now_ms),
    }
}

/// Returns the bound for a request; `None` if it is among the most urgent of its service, or
/// the deployment has no bounds on what engines hold. A request whose target is as short isn't
/// bounded either, whatever its team's priority: a wait in the instance would make it late.
fn bound(request: &CallerRequest) -> Option<BacklogBound> {
    let instance = &request.instance;
    let routes = instance.routes.borrow();
    let most_urgent = routes
        .most_urgent(&request.requirements.service)
        .filter(|most_urgent| {
            is_active(request)
                && request.urgency() > most_urgent.urgency
                && request.route.target_ms > most_urgent.target_ms
        })?;
    Some(BacklogBound::new(
        most_urgent.target_ms,
        &instance.settings.backlog,
    ))
}

/// Returns whether the engines that run the request have a memory that bounds what they hold.
pub(super) fn is_active(request: &CallerRequest) -> bool {
    request.requirements.model.is_some() && request.instance.machine().limits_engine_memory
}
