use {
    super::{
        classify::{classify_answer, classify_send_error, record_engine_failure},
        guards::LoadGuard,
        pass_on::{pass_on, record_peer_failure},
        plan::{choose_engine, headers},
        progress::Stage,
        request::{CallerRequest, Origin},
        waiting::{WaitingPlace, charge_unless_waited},
    },
    crate::{
        bounded::MeteredStream,
        clock::now_ms,
        instance::{Instance, OpenPassGuard},
        upstreams::{Answer, Destination, SendError, check_silent, confirm_end, send},
    },
    derive_more::Display,
    http::Request,
    http_body_util::Full,
    mangowalk_core::{
        origin::EngineBuild,
        pool::{EngineEntry, is_worth_abandoning},
    },
    std::{pin::pin, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Interval between checks of an engine that sends nothing.
pub(super) const SILENCE_CHECK_INTERVAL_MS: u64 = 100;

/// Result of one attempt with one engine.
pub(super) enum Outcome {
    /// The engine answered; the body is still to be read.
    Answer(Box<EngineAnswer>),
    /// The request was not sent to the engine with this ID or the peer with this name.
    NotSent(String),
    /// The engine with this ID rejected the request and has not run it.
    NotRun(String),
    /// The engine with this ID, or an engine behind the peer with this name, may have
    /// run the request.
    MayHaveRun(String),
    /// A peer refused the request, which has not run.
    PeerRefused {
        /// Name of the peer.
        peer: String,
        /// Time in milliseconds after which the caller should retry.
        retry_after_ms: Option<u64>,
    },
    /// The request's deadline passed; the engine may have run it.
    TimedOut,
    /// No engine can take the request.
    NoEngine,
    /// All engines that could take the request have asked for rest. Holds the time in
    /// milliseconds until the first rest ends.
    EnginesRest(u64),
    /// The request would wait too long in an engine's queue. Holds the time in
    /// milliseconds after which the caller should retry.
    QueueTooLong(u64),
}

impl Outcome {
    /// Returns whether the request may have reached an engine. A peer that refuses it may
    /// have sent it to engines that rejected it.
    pub(super) fn may_have_arrived(&self) -> bool {
        match self {
            Outcome::NotSent(_)
            | Outcome::NoEngine
            | Outcome::EnginesRest(_)
            | Outcome::QueueTooLong(_) => false,
            Outcome::Answer(_)
            | Outcome::NotRun(_)
            | Outcome::MayHaveRun(_)
            | Outcome::PeerRefused { .. }
            | Outcome::TimedOut => true,
        }
    }
}

/// An engine's answer.
pub(super) struct EngineAnswer {
    pub(super) answer: Answer,
    pub(super) source: AnswerSource,
    /// When the request was sent.
    pub(super) sent_ms: u64,
    /// When the first bytes of the body arrived.
    pub(super) body_began_ms: Option<u64>,
}

/// From where an engine's answer comes.
pub(super) enum AnswerSource {
    /// The engine itself.
    Engine {
        entry: Box<EngineEntry>,
        /// Counts the load of the request.
        load_guard: LoadGuard,
    },
    /// A peer that sent the request to the engine.
    Peer {
        name: String,
        /// Build of that engine, if the peer tells it.
        build: Option<EngineBuild>,
        _open_guard: OpenPassGuard,
    },
}

impl EngineAnswer {
    /// Returns the engine, unless a peer sent the request to it.
    pub(super) fn engine(&self) -> Option<&EngineEntry> {
        match &self.source {
            AnswerSource::Engine { entry, .. } => Some(entry),
            AnswerSource::Peer { .. } => None,
        }
    }

    /// Returns the ID of the engine or the name of the peer.
    pub(super) fn responder(&self) -> &str {
        match &self.source {
            AnswerSource::Engine { entry, .. } => &entry.incarnation.id,
            AnswerSource::Peer { name, .. } => name,
        }
    }

    /// Returns the build of the engine; `None` if it isn't known, as the engine may have
    /// started again with other software since the request was sent.
    pub(super) fn build(&self, instance: &Instance) -> Option<EngineBuild> {
        match &self.source {
            AnswerSource::Engine { entry, .. } => {
                let engines = instance.engines.borrow();
                let known = engines.get(&entry.incarnation.id);
                let has_restarted =
                    known.is_some_and(|known| known.entry.incarnation != entry.incarnation);
                EngineBuild::of(entry).filter(|_| !has_restarted)
            }
            AnswerSource::Peer { build, .. } => *build,
        }
    }

    /// Returns why an answer that has ended only with its connection counts as broken off, or
    /// `None` if it is complete. Peers frame all their answers.
    ///
    /// An engine that answers before it has received the whole request may end what it sends in
    /// order and reset the connection after that.
    pub(super) async fn unconfirmed_end_reason(
        &mut self,
        request: &CallerRequest,
    ) -> Option<&'static str> {
        let AnswerSource::Engine { entry, .. } = &self.source else {
            return Some("ended_unconfirmed");
        };
        let ended = self.answer.connection.take_ended().await;
        let was_cut = || ended.as_ref().is_some_and(MeteredStream::was_cut);
        if was_cut() {
            return Some("ended_early");
        }
        let instance = &request.instance;
        let began_ms = now_ms();
        let finding = confirm_end(instance, &request.pool, entry, request.left_ms()).await;
        log::info!(
            "event=end_witnessed request={} engine={} finding={} waited_ms={}",
            request.id(),
            entry.incarnation.id,
            finding.label(),
            now_ms().saturating_sub(began_ms),
        );
        finding
            .break_reason()
            .or(was_cut().then_some("ended_reset"))
    }

    /// Records that the answer broke off or didn't come in time.
    pub(super) fn record_failure(&self, request: &CallerRequest, reason: &'static str) {
        match &self.source {
            AnswerSource::Engine { entry, .. } => {
                record_engine_failure(request, entry, reason, self.body_began_ms);
            }
            AnswerSource::Peer { name, .. } => record_peer_failure(request, name, reason),
        }
    }
}

/// What an attempt cost of its service's retry budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub(super) enum RetryCharge {
    /// Nothing: the request has reached no engine before.
    #[default]
    #[display("none")]
    None,
    /// One retry.
    #[display("retry")]
    Retry,
}

/// State of the earlier attempts that one attempt depends on.
#[derive(Default)]
pub(super) struct AttemptContext<'a> {
    /// IDs of the engines that were tried before; they are skipped.
    pub(super) tried_engines: &'a [String],
    /// Whether the request is sent for the first time.
    pub(super) is_first: bool,
    /// What the attempt cost of the service's retry budget.
    pub(super) charge: RetryCharge,
    /// Whether this attempt resumes a stream that was cut off.
    pub(super) is_resumed: bool,
    /// ID of the last event that the caller has; the stream resumes after it.
    pub(super) last_event_id: Option<&'a str>,
    /// Build at which the stream has begun and has to go on.
    pub(super) build: Option<EngineBuild>,
    /// Whether the stream can be resumed at another engine if it is cut off.
    pub(super) can_resume_elsewhere: bool,
    /// Whether no engine has run the request, so that it may still be refused.
    pub(super) may_be_refused: bool,
    /// Time without an answer after which the attempt is abandoned. `None` if
    /// the request may not run again.
    pub(super) give_up_ms: Option<u64>,
    /// Place of the request in the waiting room, if it waits for an engine.
    pub(super) place: Option<&'a WaitingPlace>,
}

/// Chooses an engine, sends the request and waits for the head of the answer. Passes the
/// request on to a peer instead if this instance can't reach the engines.
///
/// Records a failed attempt in the state of the engine.
pub(super) async fn attempt(request: &CallerRequest, context: &AttemptContext<'_>) -> Outcome {
    let now = now_ms();
    if request.has_no_path() {
        return match request.origin {
            Origin::Caller => pass_on(request, context, now).await,
            // A request is passed on only once.
            Origin::Peer => Outcome::NoEngine,
        };
    }
    let (engine, plan) = match choose_engine(request, context, now) {
        Ok(chosen) => chosen,
        Err(outcome) => return pass_on_refused(request, context, outcome, now).await,
    };
    match context.place {
        Some(place) => place.record_placed(),
        None => charge_unless_waited(request, context),
    }
    let left_ms = request.left_ms();
    let Some(headers) = headers(request, context, &engine, &plan, left_ms) else {
        return Outcome::NotSent(engine.incarnation.id);
    };
    let load_guard = LoadGuard::begin(&request.instance, &engine.incarnation, plan.load);
    let build_message = || {
        let mut message = Request::new(Full::new(request.body.clone()));
        *message.method_mut() = request.method.clone();
        *message.uri_mut() = request.uri.clone();
        *message.headers_mut() = headers.clone();
        message
    };
    log::info!(
        "event=sent request={} engine={} software={} left_ms={left_ms} cached={} paused={} version={} others={} own={} behind={:?} origin={:?} charge={}",
        request.id(),
        engine.incarnation.id,
        engine.software,
        plan.is_cached,
        plan.is_paused,
        plan.version,
        plan.load_at_choice.others.requests,
        plan.load_at_choice.own.requests,
        context.last_event_id,
        request.origin,
        context.charge,
    );
    let progress = &request.progress;
    progress.enter_at(Stage::AtEngine, &engine.incarnation.id);
    let sending = send(
        &request.instance,
        &request.pool,
        Destination::Engine {
            entry: &engine,
            request_arrived_ms: request.arrived_ms,
        },
        build_message,
    );
    let old_weights_wait_ms = request
        .max_weights_wait_ms(plan.version, now)
        .unwrap_or(left_ms);
    let give_up_ms = context
        .give_up_ms
        .unwrap_or(left_ms)
        .min(old_weights_wait_ms);
    let may_retry = context.give_up_ms.is_some();
    let answer = await_answer(request, &engine, may_retry, sending);
    let waited = await_in_time(
        request,
        context,
        &engine,
        give_up_ms.min(left_ms),
        old_weights_wait_ms.min(left_ms),
        answer,
    );
    let waited = tokio::select! {
        waited = waited => waited,
        () = request.withdrawal() => return withdraw(request, &engine),
    };
    match waited {
        Ok(Ok(answer)) => classify_answer(request, answer, load_guard, engine, &plan),
        Ok(Err(error)) => classify_send_error(request, &engine, &error),
        Err(waited_ms) if old_weights_wait_ms <= waited_ms && old_weights_wait_ms < left_ms => {
            request.instance.counters.count("withdrawn", "old_weights");
            log::warn!(
                "event=withdrawn request={} engine={} reason=old_weights version={} waited_ms={old_weights_wait_ms}",
                request.id(),
                engine.incarnation.id,
                plan.version,
            );
            Outcome::MayHaveRun(engine.incarnation.id)
        }
        Err(waited_ms) if waited_ms < left_ms => {
            record_engine_failure(request, &engine, "silent", None);
            Outcome::MayHaveRun(engine.incarnation.id)
        }
        Err(_) => {
            record_engine_failure(request, &engine, "timed_out", None);
            Outcome::TimedOut
        }
    }
}

/// Waits for an answer for `give_up_ms`, and on until `max_wait_ms` as long as no other engine
/// would answer sooner. Engines that are known to crash beyond their memory are loaded up to
/// it, so that a long wait says nothing of the engine there.
///
/// # Errors
///
/// Returns the time in milliseconds after which the wait ended without an answer.
async fn await_in_time(
    request: &CallerRequest,
    context: &AttemptContext<'_>,
    engine: &EngineEntry,
    give_up_ms: u64,
    max_wait_ms: u64,
    answer: impl Future<Output = Result<Answer, SendError>>,
) -> Result<Result<Answer, SendError>, u64> {
    let mut answer = pin!(answer);
    let mut waited_ms = 0;
    let mut wait_ms = give_up_ms;
    loop {
        let step = Duration::from_millis(wait_ms - waited_ms);
        if let Ok(result) = timeout(step, answer.as_mut()).await {
            return Ok(result);
        }
        waited_ms = wait_ms;
        if waited_ms >= max_wait_ms || !stays_in_queue(request, context, engine) {
            return Err(waited_ms);
        }
        request.instance.counters.count("answer_awaited", "longer");
        wait_ms = (waited_ms + request.route.target_ms.max(1)).min(max_wait_ms);
    }
}

/// Returns whether a request is left at an engine that hasn't begun its answer in time.
fn stays_in_queue(
    request: &CallerRequest,
    context: &AttemptContext<'_>,
    engine: &EngineEntry,
) -> bool {
    let instance = &request.instance;
    let requirements = &request.requirements;
    if !instance.machine().limits_engine_memory || requirements.model.is_none() {
        return false;
    }
    let now_ms = now_ms();
    let remaining_retries = instance.remaining_retries(&requirements.service, now_ms);
    let engines = instance.engines.borrow();
    let others = engines
        .accepting_engines(&requirements.service, now_ms)
        .filter(|other| {
            let id = &other.entry.incarnation.id;
            *id != engine.incarnation.id
                && !context.tried_engines.contains(id)
                && !other.is_paused(now_ms)
                && !other.is_excluded(&instance.settings.choice.health, now_ms)
        });
    !is_worth_abandoning(
        others,
        &instance.prefill_rate.get(),
        requirements.prompt_tokens,
        request.route.target_ms,
        remaining_retries,
    )
}

/// Records that a request was withdrawn from an engine before its answer began, as a part of
/// its prompt crashes engines.
fn withdraw(request: &CallerRequest, engine: &EngineEntry) -> Outcome {
    request.instance.counters.count("withdrawn", "poison_part");
    log::warn!(
        "event=withdrawn request={} engine={} reason=poison_part",
        request.id(),
        engine.incarnation.id,
    );
    Outcome::MayHaveRun(engine.incarnation.id.clone())
}

/// Passes on a request that the reachable engines can't take, if this instance is cut off
/// from most of the service. Returns `outcome` otherwise, or if no peer takes it.
async fn pass_on_refused(
    request: &CallerRequest,
    context: &AttemptContext<'_>,
    outcome: Outcome,
    now_ms: u64,
) -> Outcome {
    let service = &request.requirements.service;
    if request.origin == Origin::Peer || !request.instance.is_cut_off(service, now_ms) {
        return outcome;
    }
    match pass_on(request, context, now_ms).await {
        Outcome::NoEngine => outcome,
        passed_on => passed_on,
    }
}

/// Waits for an answer. If the engine sends nothing meanwhile, it is probed with
/// a new connection.
///
/// # Errors
///
/// Returns the error of the send, or [`SendError::Silent`] if the engine accepts no
/// connections and the request may be retried.
async fn await_answer(
    request: &CallerRequest,
    engine: &EngineEntry,
    may_retry: bool,
    sending: impl Future<Output = Result<Answer, SendError>>,
) -> Result<Answer, SendError> {
    let mut sending = pin!(sending);
    let settings = &request.instance.settings;
    let sent_ms = now_ms();
    let mut pause_ms = settings.probe_after_ms;
    loop {
        tokio::select! {
            result = sending.as_mut() => return result,
            () = sleep(Duration::from_millis(pause_ms)) => {}
        }
        pause_ms = SILENCE_CHECK_INTERVAL_MS;
        let is_silent = check_silent(&request.instance, &request.pool, engine, sent_ms, now_ms());
        if is_silent && may_retry {
            return Err(SendError::Silent);
        }
    }
}
