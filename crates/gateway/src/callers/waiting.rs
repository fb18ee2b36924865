use {
    super::{
        Refusal,
        attempt::{AttemptContext, Outcome},
        backlog::{backlog, is_active},
        progress::Stage,
        request::{CallerRequest, Origin, STOPPING_RETRY_MS},
    },
    crate::{
        clock::now_ms,
        instance::{Arrival, Drain, Instance},
    },
    derive_more::Display,
    mangowalk_core::{
        admission::{FleetCapacity, Job, WaitingRoom, WaitingSettings, WorkAhead},
        pool::PrefillRate,
    },
    std::{cell::Cell, collections::HashSet, rc::Rc, time::Duration},
    tokio::{sync::Notify, task::spawn_local, time::sleep},
};

/// How the wait of a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
enum WaitEnd {
    #[display("placed")]
    Placed,
    #[display("refused")]
    Refused,
    #[display("caller_gone")]
    CallerGone,
}

/// The place of a request in the waiting room of its service. The request leaves the room when
/// the place is dropped, as when its caller disconnects.
pub(super) struct WaitingPlace {
    instance: Rc<Instance>,
    service: String,
    request_id: String,
    route: String,
    id: u64,
    turn: Rc<Notify>,
    since_ms: u64,
    has_left: Cell<bool>,
}

impl WaitingPlace {
    /// Records that the request is sent to an engine, and lets the next one look for one.
    pub(super) fn record_placed(&self) {
        if self.has_left.replace(true) {
            return;
        }
        let waiting = &self.instance.waiting;
        waiting.place(&self.service, self.id, now_ms());
        self.record_end(WaitEnd::Placed);
    }

    /// Records that the request is refused.
    pub(super) fn record_refused(&self) {
        self.leave(WaitEnd::Refused);
    }

    fn leave(&self, end: WaitEnd) {
        if self.has_left.replace(true) {
            return;
        }
        self.instance.waiting.leave(&self.service, self.id);
        self.record_end(end);
    }

    fn record_end(&self, end: WaitEnd) {
        let waited_ms = now_ms().saturating_sub(self.since_ms);
        let counters = &self.instance.counters;
        counters.count("waited", end.label());
        counters.observe("waiting", waited_ms);
        log::info!(
            "event=waited request={} route={} waited_ms={waited_ms} end={end}",
            self.request_id,
            self.route,
        );
    }
}

impl WaitEnd {
    fn label(self) -> &'static str {
        match self {
            WaitEnd::Placed => "placed",
            WaitEnd::Refused => "refused",
            WaitEnd::CallerGone => "caller_gone",
        }
    }
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        self.leave(WaitEnd::CallerGone);
    }
}

/// Why a request waits no longer without an engine. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct WaitRefusal {
    pub(super) refusal: Refusal,
    /// Time after which the caller should retry.
    pub(super) retry_after_ms: Option<u64>,
}

/// Returns whether a request waits in this instance if no engine takes it. `may_be_refused`
/// says that no engine has run it.
pub(super) fn may_wait(request: &CallerRequest, may_be_refused: bool) -> bool {
    may_be_refused && request.origin == Origin::Caller && is_active(request)
}

/// Returns whether requests that are as urgent wait already.
pub(super) fn must_let_others_go_first(request: &CallerRequest) -> bool {
    let service = &request.requirements.service;
    let waiting = &request.instance.waiting;
    waiting.goes_first(service, request.urgency())
}

/// Returns whether room at engines would let a request go that was not sent for this reason.
pub(super) fn is_want_of_room(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::QueueTooLong(_))
}

/// Charges the team of a request that is sent without a wait for its place in the order.
pub(super) fn charge_unless_waited(request: &CallerRequest, context: &AttemptContext<'_>) {
    if !context.is_first || !is_active(request) {
        return;
    }
    let instance = &request.instance;
    let service = &request.requirements.service;
    let settings = &instance.settings.waiting;
    let charge = |room: &mut WaitingRoom| room.charge(&job(request));
    instance.waiting.with_room(service, settings, charge);
}

/// Waits until the request may look for an engine. Its place in the room is in `place`; it
/// enters the room first if it has none.
///
/// # Errors
///
/// Returns the refusal if the request can't be served before its deadline, the room is full, or
/// something changed meanwhile for which it is not served.
pub(super) async fn wait_for_turn(
    request: &CallerRequest,
    place: &mut Option<WaitingPlace>,
) -> Result<(), WaitRefusal> {
    let has_place = place.is_some();
    if !is_in_time(request, has_place) {
        return Err(refuse_waiting(request, place.as_ref()));
    }
    let place = match place {
        Some(place) => {
            place.instance.waiting.pass_turn(&place.service, place.id);
            place
        }
        None => {
            let entered = enter(request).ok_or_else(|| refuse_waiting(request, None))?;
            place.insert(entered)
        }
    };
    request.progress.enter(Stage::Waiting);
    let instance = &request.instance;
    let mut drain = instance.drain.clone();
    let left_ms = latest_start_ms(request).saturating_sub(now_ms());
    let changed = loop {
        let routes = instance.wake_ups.routes.notified();
        let ended = tokio::select! {
            () = place.turn.notified() => Some(admission_error(request)),
            () = request.withdrawal() => Some(Some(without_retry(Refusal::PoisonPart))),
            () = Drain::wait_for_closing(&mut drain) => Some(Some(WaitRefusal {
                refusal: Refusal::Stopping,
                retry_after_ms: Some(STOPPING_RETRY_MS),
            })),
            () = sleep(Duration::from_millis(left_ms)) => {
                Some(Some(refuse_waiting(request, Some(place))))
            }
            () = routes => admission_error(request).map(Some),
        };
        if let Some(ended) = ended {
            break ended;
        }
    };
    match changed {
        Some(refusal) => {
            place.record_refused();
            Err(refusal)
        }
        None => Ok(()),
    }
}

fn without_retry(refusal: Refusal) -> WaitRefusal {
    WaitRefusal {
        refusal,
        retry_after_ms: None,
    }
}

/// Returns why a request is no longer served under the configuration in force: its key was
/// withdrawn, or its route is gone or leads to other services.
fn admission_error(request: &CallerRequest) -> Option<WaitRefusal> {
    let routes = request.instance.routes.borrow().clone();
    let head = &request.head;
    let admitted = routes.admit(&head.host, request.uri.path(), head.key.as_deref());
    match admitted {
        Err(error) => Some(without_retry(Refusal::from(error))),
        Ok((route, _)) => {
            let service = &request.requirements.service;
            let leads_there = route.services.iter().any(|share| share.service == *service);
            (!leads_there).then(|| without_retry(Refusal::NoEngine))
        }
    }
}

/// Returns the time at which the request must begin at an engine to be answered before its
/// deadline.
fn latest_start_ms(request: &CallerRequest) -> u64 {
    let rate = request.instance.prefill_rate.get();
    let read_ms = rate.prefill_ms(own_tokens(request) as f64) as u64;
    let reserve_ms = request.instance.settings.waiting.answer_reserve_ms;
    request.deadline_ms.saturating_sub(read_ms + reserve_ms)
}

fn own_tokens(request: &CallerRequest) -> u64 {
    let requirements = &request.requirements;
    let shared_tokens = requirements.shared_tokens();
    requirements.prompt_tokens.saturating_sub(shared_tokens)
}

/// What the engines of a request's service can read.
struct Capacity {
    fleet: FleetCapacity,
    rate: PrefillRate,
    drain_tokens_per_ms: f64,
    ahead: WorkAhead,
}

fn capacity(request: &CallerRequest) -> Capacity {
    let instance = &request.instance;
    let service = &request.requirements.service;
    let rate = instance.prefill_rate.get();
    let engines = instance.engines.borrow();
    let now_ms = now_ms();
    let backlogs = engines
        .accepting_engines(service, now_ms)
        .map(|engine| backlog(engine, now_ms));
    let fleet = FleetCapacity::new(backlogs, &rate);
    let settings = &instance.settings.waiting;
    let (measured, ahead) = instance.waiting.with_room(service, settings, |room| {
        let measured = room.drain_tokens_per_ms(now_ms);
        (measured, room.work_ahead(request.urgency(), now_ms))
    });
    Capacity {
        fleet,
        rate,
        drain_tokens_per_ms: fleet.drain_tokens_per_ms(measured, instance.instance_count(), &rate),
        ahead,
    }
}

/// Returns whether the request can be served before its deadline. One that has a place in the
/// room is before some of those that wait, so only the engines' backlogs count.
fn is_in_time(request: &CallerRequest, has_place: bool) -> bool {
    let capacity = capacity(request);
    let ahead = match has_place {
        true => WorkAhead::default(),
        false => capacity.ahead,
    };
    let read_ms = capacity.fleet.read_ms(
        ahead,
        own_tokens(request),
        capacity.drain_tokens_per_ms,
        &capacity.rate,
    );
    let reserve_ms = request.instance.settings.waiting.answer_reserve_ms;
    read_ms + reserve_ms as f64 <= request.left_ms() as f64
}

/// Returns the refusal for a request that can't be served in time, with the time at which its
/// caller finds room.
fn refuse_waiting(request: &CallerRequest, place: Option<&WaitingPlace>) -> WaitRefusal {
    if let Some(place) = place {
        place.record_refused();
    }
    let instance = &request.instance;
    let drain_tokens_per_ms = capacity(request).drain_tokens_per_ms;
    let service = &request.requirements.service;
    let delay_ms = instance
        .waiting
        .with_room(service, &instance.settings.waiting, |room| {
            room.retry_delay_ms(
                own_tokens(request),
                request.urgency(),
                drain_tokens_per_ms,
                now_ms(),
            )
        });
    WaitRefusal {
        refusal: Refusal::NoEngine,
        retry_after_ms: Some(delay_ms),
    }
}

/// Adds the request to the room of its service; returns `None` if the room is full.
fn enter(request: &CallerRequest) -> Option<WaitingPlace> {
    let instance = &request.instance;
    let service = &request.requirements.service;
    let arrival = Arrival {
        service,
        route: &request.route.name,
        job: job(request),
        body_bytes: request.body.len(),
    };
    let settings = &instance.settings.waiting;
    let was_empty = instance.waiting.is_empty();
    let entered = instance.waiting.enter(arrival, settings, now_ms());
    let (id, turn) = entered
        .inspect_err(|full| {
            log::warn!(
                "event=waiting_room_full request={} bound={full:?}",
                request.id()
            );
        })
        .ok()?;
    if was_empty {
        spawn_local(wake_regularly(instance.clone(), *settings));
    }
    log::info!(
        "event=waits request={} route={} urgency={} left_ms={}",
        request.id(),
        request.route.name,
        request.urgency(),
        request.left_ms(),
    );
    Some(WaitingPlace {
        instance: instance.clone(),
        service: service.clone(),
        request_id: request.id().to_owned(),
        route: request.route.name.clone(),
        id,
        turn,
        since_ms: now_ms(),
        has_left: Cell::new(false),
    })
}

/// Begins a walk through the rooms at regular intervals as long as requests wait, as peers may
/// tell nothing and no own answer may end.
async fn wake_regularly(instance: Rc<Instance>, settings: WaitingSettings) {
    while !instance.waiting.is_empty() {
        sleep(Duration::from_millis(settings.walk_interval_ms)).await;
        instance.waiting.wake(now_ms());
    }
}

fn job(request: &CallerRequest) -> Job {
    Job {
        id: 0,
        team: request.team().to_owned(),
        weight: weight(request),
        priority: request.urgency(),
        tokens: own_tokens(request),
        arrived_ms: request.arrived_ms,
        deadline_ms: Some(request.deadline_ms.saturating_sub(request.arrived_ms)),
        model: String::new(),
        version: String::new(),
        chain: Vec::new(),
        avoid: HashSet::new(),
        cache_store_blocks: 0,
    }
}

/// Returns the weight of the team's share: its rate, or the same for all teams if one has none.
fn weight(request: &CallerRequest) -> f64 {
    let routes = request.instance.routes.borrow();
    let teams = &routes.configuration().tenants;
    let have_rates = teams.iter().all(|team| team.rate.is_some());
    let rate = request.tenant.as_ref().and_then(|team| team.rate);
    rate.filter(|_| have_rates).map_or(1.0, |rate| rate.per_s)
}
