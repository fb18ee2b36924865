use {
    super::{
        classify::{classify_answer, classify_send_error, record_engine_failure},
        guards::LoadGuard,
        plan::{choose_engine, headers},
        request::CallerRequest,
    },
    crate::{
        clock::now_ms,
        upstreams::{Answer, SendError, check_silent, send},
    },
    http::Request,
    http_body_util::Full,
    mangowalk_core::pool::EngineEntry,
    std::{pin::pin, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Interval between checks of an engine that sends nothing.
pub(super) const SILENCE_CHECK_INTERVAL_MS: u64 = 100;

/// Result of one attempt with one engine.
pub(super) enum Outcome {
    /// The engine answered; the body is still to be read.
    Answer(Box<EngineAnswer>),
    /// The engine with this ID did not run the request.
    NotRun(String),
    /// The engine with this ID may have run the request.
    MayHaveRun(String),
    /// The request's deadline passed; the engine may have run it.
    TimedOut,
    /// No engine can take the request.
    NoEngine,
    /// The request would wait too long in an engine's queue. Holds the time in
    /// milliseconds after which the caller should retry.
    QueueTooLong(u64),
}

/// An engine's answer, with the guard that counts the request's load.
pub(super) struct EngineAnswer {
    pub(super) answer: Answer,
    pub(super) load_guard: LoadGuard,
    pub(super) engine: EngineEntry,
    /// When the request was sent to the engine.
    pub(super) sent_ms: u64,
}

/// State of the earlier attempts that one attempt depends on.
#[derive(Default)]
pub(super) struct AttemptContext<'a> {
    /// IDs of the engines that were tried before; they are skipped.
    pub(super) tried_engines: &'a [String],
    /// Whether the request is sent for the first time.
    pub(super) is_first: bool,
    /// Whether this attempt resumes a stream that was cut off.
    pub(super) is_resumed: bool,
    /// ID of the last event that the caller has; the stream resumes after it.
    pub(super) last_event_id: Option<&'a str>,
    /// Whether the stream can be resumed at another engine if it is cut off.
    pub(super) can_resume_elsewhere: bool,
    /// Whether no engine has run the request, so that it may still be refused.
    pub(super) may_be_refused: bool,
    /// Time without an answer after which the attempt is abandoned. `None` if
    /// the request may not run again.
    pub(super) give_up_ms: Option<u64>,
}

/// Chooses an engine, sends the request and waits for the head of the answer.
///
/// Records a failed attempt in the state of the engine.
pub(super) async fn attempt(request: &CallerRequest, context: &AttemptContext<'_>) -> Outcome {
    let now = now_ms();
    let (engine, plan) = match choose_engine(request, context, now) {
        Ok(chosen) => chosen,
        Err(outcome) => return outcome,
    };
    let left_ms = request.left_ms();
    let Some(headers) = headers(request, context, &engine, &plan, left_ms) else {
        return Outcome::NotRun(engine.incarnation.id);
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
        "event=sent request={} engine={} left_ms={left_ms} cached={} version={} others={} own={}",
        request.id(),
        engine.incarnation.id,
        plan.is_cached,
        plan.version,
        plan.load_at_choice.others.requests,
        plan.load_at_choice.own.requests,
    );
    let sending = send(
        &request.pool,
        &engine,
        &request.instance.settings,
        build_message,
    );
    let old_weights_wait_ms = request
        .max_weights_wait_ms(plan.version, now)
        .unwrap_or(left_ms);
    let give_up_ms = context
        .give_up_ms
        .unwrap_or(left_ms)
        .min(old_weights_wait_ms);
    let waited = timeout(
        Duration::from_millis(give_up_ms.min(left_ms)),
        await_answer(request, &engine, context.give_up_ms.is_some(), sending),
    );
    match waited.await {
        Ok(Ok(answer)) => classify_answer(request, answer, load_guard, engine, &plan),
        Ok(Err(error)) => classify_send_error(request, &engine, &error),
        Err(_) if old_weights_wait_ms <= give_up_ms && old_weights_wait_ms < left_ms => {
            request.instance.counters.count("withdrawn", "old_weights");
            log::warn!(
                "event=withdrawn request={} engine={} reason=old_weights version={} waited_ms={old_weights_wait_ms}",
                request.id(),
                engine.incarnation.id,
                plan.version,
            );
            Outcome::MayHaveRun(engine.incarnation.id)
        }
        Err(_) if give_up_ms < left_ms => {
            record_engine_failure(request, &engine, "silent");
            Outcome::MayHaveRun(engine.incarnation.id)
        }
        Err(_) => {
            record_engine_failure(request, &engine, "timed_out");
            Outcome::TimedOut
        }
    }
}

/// Waits for an answer. If the engine sends nothing meanwhile, it is probed with
/// a new connection.
///
/// # Errors
///
/// Returns the error of the send, or [`SendError::Lost`] if the engine accepts no
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
            return Err(SendError::Lost {
                reason: "the engine is silent".to_owned(),
            });
        }
    }
}
