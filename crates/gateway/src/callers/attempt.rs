use {
    super::{request::CallerRequest, work::Work},
    crate::{
        clock::now_ms,
        upstreams::{Answer, SendError, doubt, send},
    },
    http::{Request, StatusCode},
    http_body_util::Full,
    mangowalk_core::pool::{Belief, EngineEntry, Load, Need, choose, kept_key, refuse},
    mangowalk_platform::{Forward, forward_headers},
    std::{net::SocketAddr, pin::pin, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Time for which an engine that refused a request gets no further one.
/// Loading weights takes it a few hundred milliseconds.
const REFUSED_PAUSE_MS: u64 = 150;

/// Pause between two looks at an engine from which nothing comes.
const LOOK_MS: u64 = 100;

/// Shared tokens from which on they are fetched from another engine. Setting a
/// transfer up takes about as long as reading a hundred.
const LEAST_NEAR_TOKENS: u64 = 100;

/// Shared tokens from which on they are kept in, and fetched from, the store.
/// Its link and memory are one for all: with short parts there as well, first
/// events came twice as late (median 42 to 89 ms on a full day).
const LEAST_FETCH_TOKENS: u64 = 512;

/// How one try with one engine ended.
pub(super) enum Outcome {
    /// The engine's own answer begins.
    Answer(Box<Answered>),
    /// The engine did not run the request.
    NotRun,
    /// The engine may have run it.
    Unknown,
    /// The time is over; the engine may have run it.
    TimedOut,
    /// There is no engine to send it to.
    NoEngine,
    /// It would wait too long; the caller should come back after so many
    /// milliseconds.
    Full(u64),
}

/// An answer, with the work that it stands for.
pub(super) struct Answered {
    pub(super) answer: Answer,
    pub(super) work: Work,
    pub(super) engine: EngineEntry,
}

/// What one try depends on beside the request.
#[derive(Default)]
pub(super) struct Try<'a> {
    /// Engines that were tried before.
    pub(super) tried: &'a [String],
    /// Whether a stream that was cut off goes on here.
    pub(super) is_resumed: bool,
    /// Event behind which a stream goes on.
    pub(super) last_event_id: Option<&'a str>,
    /// Whether the request can go on elsewhere if its run is cut off.
    pub(super) may_go_on: bool,
    /// Whether nothing has run yet, so that the request may be refused.
    pub(super) may_be_refused: bool,
    /// Silence after which the try is given up, where it may run again.
    pub(super) give_up_ms: Option<u64>,
}

/// Chooses an engine, sends the request and waits for the head of the answer.
pub(super) async fn attempt(request: &CallerRequest, this: &Try<'_>) -> Outcome {
    let now = now_ms();
    let (engine, plan) = match place(request, this, now) {
        Ok(placed) => placed,
        Err(outcome) => return outcome,
    };
    let left_ms = request.left_ms();
    let Some(headers) = headers(request, this, &engine, &plan, left_ms) else {
        return Outcome::NotRun;
    };
    let work = Work::begin(&request.instance, &engine.incarnation, plan.load);
    let make = || {
        let mut message = Request::new(Full::new(request.body.clone()));
        *message.method_mut() = request.method.clone();
        *message.uri_mut() = request.uri.clone();
        *message.headers_mut() = headers.clone();
        message
    };
    log::info!(
        "event=sent request={} engine={} left_ms={left_ms} cached={} version={} others={} own={}",
        request.id(),
        engine.incarnation.id,
        plan.is_kept,
        plan.version,
        plan.seen.others.requests,
        plan.seen.own.requests,
    );
    let sending = send(&request.pool, &engine, &request.instance.settings, make);
    let old_ms = request.may_wait_ms(plan.version, now).unwrap_or(left_ms);
    let give_up_ms = this.give_up_ms.unwrap_or(left_ms).min(old_ms);
    let waited = timeout(
        Duration::from_millis(give_up_ms.min(left_ms)),
        watched(request, &engine, this.give_up_ms.is_some(), sending),
    );
    match waited.await {
        Ok(Ok(answer)) => judge(request, answer, work, engine, &plan),
        Ok(Err(error)) => failed(request, &engine, &error),
        Err(_) if old_ms <= give_up_ms && old_ms < left_ms => {
            request.instance.counters.count("withdrawn", "old_weights");
            log::warn!(
                "event=withdrawn request={} engine={} reason=old_weights version={} waited_ms={old_ms}",
                request.id(),
                engine.incarnation.id,
                plan.version,
            );
            Outcome::Unknown
        }
        Err(_) if give_up_ms < left_ms => {
            note(request, &engine, "silent");
            Outcome::Unknown
        }
        Err(_) => {
            note(request, &engine, "timed_out");
            Outcome::TimedOut
        }
    }
}

/// What was decided on a send.
struct Plan {
    load: Load,
    seen: Seen,
    version: u64,
    is_kept: bool,
    salt: Option<String>,
    fetch_from: Option<SocketAddr>,
    save_to: Option<SocketAddr>,
}

struct Seen {
    own: Load,
    others: Load,
}

fn place(
    request: &CallerRequest,
    this: &Try<'_>,
    now_ms: u64,
) -> Result<(EngineEntry, Plan), Outcome> {
    let instance = &request.instance;
    let need = &request.need;
    let routes = instance.routes.borrow();
    let limits = routes
        .service(&need.service)
        .and_then(|service| service.engine);
    let memory_tokens = limits.map_or(u64::MAX, |limits| limits.memory_tokens);
    let mut engines = instance.engines.borrow_mut();
    let settings = &instance.settings.choice;
    let chosen = choose(
        engines
            .takers(&need.service, now_ms)
            .filter(|belief| !this.tried.contains(&belief.entry.incarnation.id)),
        need,
        request.wanted(now_ms),
        memory_tokens,
        settings,
        rand::random(),
        now_ms,
    )
    .ok_or(Outcome::NoEngine)?;
    if need.model.is_some() && this.may_be_refused {
        let admit = &instance.settings.admit;
        let rate = instance.read_rate.get();
        let is_first = request.is_first();
        let target_ms = request.route.target_ms;
        let own_tokens = need.prompt_tokens.saturating_sub(need.shared_tokens());
        if let Some(return_ms) = refuse(chosen, &rate, admit, own_tokens, target_ms, is_first) {
            log::warn!(
                "event=full request={} engine={} wait_ms={:.0} target_ms={target_ms} own={} others={} read_per_ms={:.1}",
                request.id(),
                chosen.entry.incarnation.id,
                rate.wait_ms(f64::from(chosen.load().prefill_tokens)),
                chosen.own.prefill_tokens,
                chosen.others.prefill_tokens,
                rate.per_ms(),
            );
            return Err(Outcome::Full(return_ms));
        }
    }
    let stores = &routes.configuration().services;
    let store = stores
        .iter()
        .find_map(|service| service.kept_store.as_ref());
    let store = store.map(|store| store.address);
    let holder = holder(request, chosen, engines.iter(), now_ms);
    let plan = plan(request, this, chosen, store, holder, now_ms);
    let entry = chosen.entry.clone();
    if let Some(belief) = engines.get_mut(&entry.incarnation.id) {
        belief.health.sent(&settings.health, now_ms);
    }
    Ok((entry, plan))
}

fn plan(
    request: &CallerRequest,
    this: &Try<'_>,
    belief: &Belief,
    store: Option<SocketAddr>,
    holder: Option<SocketAddr>,
    now_ms: u64,
) -> Plan {
    let need = &request.need;
    let version = need.model.as_ref().map_or(0, |model| belief.version(model));
    let kept_ms = request.instance.settings.choice.kept_ms;
    let is_kept = need
        .shared_part()
        .is_some_and(|part| belief.keeps(part, kept_ms, now_ms));
    let shared_tokens = need.shared_tokens();
    let is_near_worth = version > 0 && shared_tokens >= LEAST_NEAR_TOKENS;
    let worth_fetching = version > 0 && shared_tokens >= LEAST_FETCH_TOKENS;
    let salt = need.model.as_ref().map(|_| salt(request, version));
    let kept = request.instance.kept.borrow();
    let store = store.filter(|_| worth_fetching && kept.is_up());
    let shared = need.parts.iter().rev().nth(1);
    let is_saved = salt
        .as_ref()
        .zip(shared)
        .is_some_and(|(salt, part)| kept.holds(kept_key(salt, part.id)));
    // Another engine's link is faster than the store's, but its memory turns
    // over within seconds.
    let fetch_from = if is_saved {
        store
    } else {
        holder.filter(|_| is_near_worth && !is_kept).or(store)
    };
    Plan {
        load: Load {
            requests: 1,
            memory_tokens: need.memory_tokens as u32,
            prefill_tokens: unread(need, is_kept, is_saved || holder.is_some()) as u32,
            must_finish: u32::from(!this.may_go_on),
        },
        seen: Seen {
            own: belief.own,
            others: belief.others,
        },
        version,
        is_kept,
        fetch_from,
        save_to: store.filter(|_| !is_saved),
        salt,
    }
}

/// Returns another engine with the same weights that keeps the shared parts.
fn holder<'a>(
    request: &CallerRequest,
    chosen: &Belief,
    mut engines: impl Iterator<Item = &'a Belief>,
    now_ms: u64,
) -> Option<SocketAddr> {
    let part = request.need.shared_part()?;
    let model = request.need.model.as_ref()?;
    let kept_ms = request.instance.settings.choice.kept_ms;
    let holder = engines.find(|belief| {
        belief.entry.incarnation != chosen.entry.incarnation
            && belief.keeps(part, kept_ms, now_ms)
            && belief.version(model) == chosen.version(model)
            && !belief.is_steered(now_ms)
            && !belief.is_silent(now_ms)
    });
    holder.map(|belief| belief.entry.address)
}

/// Rank of a stream that goes on after a cut. Its caller is reading; a pause
/// in the queue makes the whole stream late.
const RESUMED_URGENCY: u8 = 0;

/// Part of the shared tokens that fetching them takes of an engine's time, as
/// if they were read.
const FETCHED: f64 = 0.2;

/// Returns the tokens that an engine has to read, as far as known.
fn unread(need: &Need, is_kept: bool, is_elsewhere: bool) -> u64 {
    let shared = need.shared_tokens().min(need.prompt_tokens);
    let own = need.prompt_tokens - shared;
    match (is_kept, is_elsewhere) {
        (true, _) => own,
        (false, true) => own + (shared as f64 * FETCHED) as u64,
        (false, false) => need.prompt_tokens,
    }
}

/// Returns the text under which an engine keeps the prompt's parts.
///
/// It holds the weights: a store keeps parts beyond a change of weights and
/// doesn't know under which they were made. It holds the team where the team
/// is isolated, so that no other finds them.
fn salt(request: &CallerRequest, version: u64) -> String {
    let isolated = request.tenant.as_ref().filter(|tenant| tenant.isolated);
    match isolated {
        Some(tenant) => format!("w{version}.{}", tenant.name),
        None => format!("w{version}"),
    }
}

fn headers(
    request: &CallerRequest,
    this: &Try<'_>,
    engine: &EngineEntry,
    plan: &Plan,
    left_ms: u64,
) -> Option<http::HeaderMap> {
    let forward = Forward {
        engine: &engine.incarnation.id,
        left_ms,
        tenant: request.tenant.as_ref().map(|tenant| tenant.name.as_str()),
        cache_salt: plan.salt.as_deref(),
        expect_version: (plan.version > 0).then_some(plan.version),
        urgency: request.need.model.as_ref().map(|_| match this.is_resumed {
            true => RESUMED_URGENCY,
            false => request.urgency(),
        }),
        fetch_from: plan.fetch_from,
        save_to: plan.save_to,
        last_event_id: this.last_event_id,
    };
    match forward_headers(&request.headers, &forward) {
        Ok(headers) => Some(headers),
        Err(error) => {
            log::warn!(
                "event=unwritable request={} error=\"{error}\"",
                request.id()
            );
            None
        }
    }
}

/// Waits for an answer. Where nothing came from the engine meanwhile, it is
/// tried whether it still takes connections; a request that may run again
/// leaves one that doesn't.
async fn watched(
    request: &CallerRequest,
    engine: &EngineEntry,
    may_leave: bool,
    sending: impl Future<Output = Result<Answer, SendError>>,
) -> Result<Answer, SendError> {
    let mut sending = pin!(sending);
    let settings = &request.instance.settings;
    let sent_ms = now_ms();
    let mut pause_ms = settings.silent_ms;
    loop {
        tokio::select! {
            result = sending.as_mut() => return result,
            () = sleep(Duration::from_millis(pause_ms)) => {}
        }
        pause_ms = LOOK_MS;
        let now_ms = now_ms();
        let engines = request.instance.engines.borrow();
        let belief = engines.get(&engine.incarnation.id);
        let is_silent = belief.is_none_or(|belief| belief.is_silent(now_ms));
        let is_quiet = belief.is_some_and(|belief| belief.heard_ms < sent_ms);
        drop(engines);
        if is_silent && may_leave {
            return Err(SendError::Lost {
                reason: "the engine is silent".to_owned(),
            });
        }
        if is_quiet && !is_silent {
            doubt(&request.instance, &request.pool, engine);
        }
    }
}

/// Decides whether an answer is the engine's own and for this request.
fn judge(
    request: &CallerRequest,
    answer: Answer,
    work: Work,
    engine: EngineEntry,
    plan: &Plan,
) -> Outcome {
    let head = &answer.head;
    let status = answer.parts.status;
    if head.not_run {
        return rejected(request, &engine, &answer, plan);
    }
    let is_ours = head.request_id.as_deref() == Some(request.id());
    let promises = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    );
    // Without the engine's signature the bytes may be anybody's; and a status
    // that promises "not run" can't be passed on for a request that has run.
    if !is_ours || !head.is_signed || head.is_encoded || promises {
        note(request, &engine, "foreign_answer");
        return Outcome::Unknown;
    }
    let now_ms = now_ms();
    let mut engines = request.instance.engines.borrow_mut();
    if let Some(belief) = engines.get_mut(&engine.incarnation.id) {
        belief.heard(now_ms);
        if let (Some(model), Some(version)) = (&request.need.model, head.version)
            && version > belief.version(model)
        {
            belief.set_version(model, version);
        }
        let health = &request.instance.settings.choice.health;
        if status.is_server_error() {
            belief.health.failed(health, now_ms);
        }
    }
    drop(engines);
    if let (true, Some(part)) = (status.is_success(), request.need.shared_part()) {
        let id = &engine.incarnation.id;
        request.instance.note_part(part, id, now_ms);
    }
    Outcome::Answer(Box::new(Answered {
        answer,
        work,
        engine,
    }))
}

fn rejected(
    request: &CallerRequest,
    engine: &EngineEntry,
    answer: &Answer,
    plan: &Plan,
) -> Outcome {
    let now_ms = now_ms();
    let status = answer.parts.status;
    let mut engines = request.instance.engines.borrow_mut();
    let reason = if status == StatusCode::MISDIRECTED_REQUEST {
        let other = answer.head.engine.as_deref();
        if other.is_some_and(|other| other != engine.incarnation.id) {
            "other_engine"
        } else {
            "other_weights"
        }
    } else {
        "full"
    };
    if let Some(belief) = engines.get_mut(&engine.incarnation.id) {
        belief.heard(now_ms);
        match (reason, &request.need.model) {
            ("other_engine", _) => belief.leaving_since_ms = Some(now_ms),
            ("other_weights", Some(model)) => {
                let named = request.wanted(now_ms).newest;
                let version = answer.head.version.unwrap_or(named);
                if version > plan.version {
                    belief.set_version(model, version);
                } else {
                    belief.refused(REFUSED_PAUSE_MS, now_ms);
                }
            }
            _ => belief.refused(REFUSED_PAUSE_MS, now_ms),
        }
    }
    drop(engines);
    request.instance.counters.count("engine_rejected", reason);
    log::info!(
        "event=rejected request={} engine={} status={} reason={reason} expected_version={} version={:?}",
        request.id(),
        engine.incarnation.id,
        status.as_u16(),
        plan.version,
        answer.head.version,
    );
    Outcome::NotRun
}

fn failed(request: &CallerRequest, engine: &EngineEntry, error: &SendError) -> Outcome {
    log::warn!(
        "event=send_failed request={} engine={} error=\"{error}\"",
        request.id(),
        engine.incarnation.id,
    );
    match error {
        SendError::NotSent { .. } => {
            note(request, engine, "not_connected");
            Outcome::NotRun
        }
        SendError::Lost { .. } => {
            note(request, engine, "lost");
            Outcome::Unknown
        }
    }
}

/// Notes a failure of an engine.
pub(super) fn note(request: &CallerRequest, engine: &EngineEntry, reason: &'static str) {
    let now_ms = now_ms();
    request.instance.counters.count("engine_failed", reason);
    log::warn!(
        "event=engine_failed request={} engine={} reason={reason}",
        request.id(),
        engine.incarnation.id,
    );
    let mut engines = request.instance.engines.borrow_mut();
    let Some(belief) = engines.get_mut(&engine.incarnation.id) else {
        return;
    };
    let health = &request.instance.settings.choice.health;
    belief.health.failed(health, now_ms);
    drop(engines);
    if matches!(reason, "lost" | "broken_off" | "half_event") {
        let identity = request.identity();
        let mut crashes = request.instance.crashes.borrow_mut();
        crashes.lost(&engine.incarnation, identity, now_ms);
    }
    if reason != "foreign_answer" {
        doubt(&request.instance, &request.pool, engine);
    }
}
